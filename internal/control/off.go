//go:build negativecontrol

package control

import "os"

// Enabled reports whether a safeguard is in force.
func Enabled(s Safeguard) bool {
	return os.Getenv(EnvVar) != string(s)
}
