package membership

import (
	"cmp"
	"slices"
)

// smallest returns the n elements with the smallest keys, in the order of their keys. Among
// equal keys the earlier elements come first. It takes linear time for a small n.
func smallest[E any, K cmp.Ordered](list []E, n int, key func(E) K) []E {
	var out []E
	var keys []K
	for _, x := range list {
		k := key(x)
		if len(out) == n && (n == 0 || k >= keys[n-1]) {
			continue
		}
		i, _ := slices.BinarySearchFunc(keys, k, func(a, b K) int {
			if a <= b {
				return -1
			}
			return 1
		})
		out, keys = slices.Insert(out, i, x), slices.Insert(keys, i, k)
		out, keys = out[:min(n, len(out))], keys[:min(n, len(keys))]
	}
	return out
}
