package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// RendezvousOrder sorts names by rendezvous hashing with the key. Every process that knows the same
// names computes the same order, and removing a name does not change the order of the others.
func RendezvousOrder(key string, names []string) []string {
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
