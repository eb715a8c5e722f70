//go:build negativecontrol

package control

import "os"

// Enabled reports whether a safeguard is enabled: all but the one that EnvVar names.
func Enabled(s Safeguard) bool {
	return os.Getenv(EnvVar) != string(s)
}
