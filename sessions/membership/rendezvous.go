package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Order sorts names by rendezvous hashing for the key. Every process that knows the same names gets
// the same order, and removing a name does not change the order of the others.
func Order(key string, names []string) []string {
	list := append([]string(nil), names...)
	sort.Slice(list, func(i, j int) bool {
		a, b := score(key, list[i]), score(key, list[j])
		if a != b {
			return a > b
		}
		return list[i] < list[j]
	})
	return list
}

func score(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
