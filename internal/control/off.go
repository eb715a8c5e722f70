//go:build negativecontrol

package control

import "os"

// Holds reports whether a safeguard is in force.
func Holds(s Safeguard) bool {
	return os.Getenv(Variable) != string(s)
}
