package directory_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
)

// TestLine checks that there are at most five standbys, however many entries there are, that only
// large entries are standbys if there are any, and that the standbys are not all in one
// availability zone.
func TestLine(t *testing.T) {
	tests := []struct {
		name     string
		entries  int
		cores    func(i int) float64
		eligible int
		standbys int
	}{
		{"three", 3, func(int) float64 { return 0.4 }, 3, 3},
		{"forty alike", 40, func(int) float64 { return 0.4 }, 40, 5},
		{"eighty alike", 80, func(int) float64 { return 0.4 }, 80, 5},
		{"two large ones", 40, func(i int) float64 { return 0.2 + 0.8*float64(max(2-i, 0)) }, 2, 2},
		{"none says how large it is", 40, func(int) float64 { return 0 }, 40, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, log *jobtest.Log) {
				d := directory.NewDirectory(log.Client("e"), zerolog.Nop())
				name := func(i int) string { return fmt.Sprintf("front-zone-%d-%d", i%4, i) }
				if d.IsStandby(name(0)) {
					t.Error("an entry is a standby before the directory has been read")
				}
				for i := range test.entries {
					directory.RegisterEntry(ctx, log.Client("e"), name(i), fmt.Sprintf("10.0.0.%d:7000", i), test.cores(i))
				}
				go d.Run(ctx)
				time.Sleep(time.Second)
				eligible, standbys := d.EligibleAddresses(), d.Standbys()
				if len(eligible) != test.eligible || len(standbys) != test.standbys {
					t.Fatalf("%d entries are eligible and the standbys are %v, want %d eligible and %d standbys",
						len(eligible), standbys, test.eligible, test.standbys)
				}
				zones := map[byte]bool{}
				for i, address := range d.StandbyAddresses() {
					zones[standbys[i][len("front-zone-")]] = true
					if !d.IsStandby(standbys[i]) || !slices.Contains(eligible, address) {
						t.Errorf("standby %s at %s is not eligible or not reported by IsStandby", standbys[i], address)
					}
				}
				if test.standbys == 5 && len(zones) == 1 {
					t.Errorf("all standbys are in one availability zone: %v", standbys)
				}
			})
		})
	}
}
