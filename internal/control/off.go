//go:build negativecontrol

package control

import "os"

// Variable is the environment variable that names the safeguard to switch off.
const Variable = "TARRAGONWELL_WITHOUT"

// Holds reports whether a safeguard is in force.
func Holds(s Safeguard) bool {
	return os.Getenv(Variable) != string(s)
}
