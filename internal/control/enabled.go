//go:build !negativecontrol

package control

// Enabled reports whether a safeguard is enabled.
func Enabled(Safeguard) bool {
	return true
}
