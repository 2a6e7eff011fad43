package health

import (
	"slices"
	"time"
)

const (
	// siblingWindow is the shortest time over which a run is compared with its siblings: a short pause
	// of a sound run must not count.
	siblingWindow = 300 * time.Millisecond
	// minSiblings is the least number of siblings with which a run is compared. With one, it would be
	// open which of the two takes unusually long.
	minSiblings = 2
	// longTaskAge is how long a run must have worked for a steady run beside it to show that its task
	// is long. By then a steady run would have lost pace on a slow worker.
	longTaskAge = 2*paceWindow + 500*time.Millisecond
)

// Compare compares the progress of the run with that of its siblings, which are runs of the same
// step on other workers at the same time. Whole percents are bounded such that rounding alone never
// makes a run lag.
func (p *Pace) Compare(siblings []*Pace) {
	p.lags, p.keepsPace = false, false
	last, known := p.last()
	if !known || last.age-p.idle.age < siblingWindow || last.percent <= p.idle.percent {
		return
	}
	var rates []float64
	for _, s := range siblings {
		if at, known := s.last(); known && at.percent > s.idle.percent+1 {
			at.percent--
			rates = append(rates, at.rate(s.idle))
		}
	}
	if len(rates) < minSiblings {
		return
	}
	slices.Sort(rates)
	median := rates[(len(rates)-1)/2]
	if median*(last.age-p.idle.age).Seconds() < paceMinPercent {
		return
	}
	own := last
	own.percent++
	share := own.rate(p.idle) / median
	p.lags, p.keepsPace = share < fallenShare, share > regainedShare
	if p.lags {
		p.siblingShare = share
	}
}

// KeepsPace reports whether the run made as much progress as its siblings when it was last
// compared.
func (p *Pace) KeepsPace() bool { return p.keepsPace }

// last returns the newest percentage; false before the first one.
func (p *Pace) last() (mark, bool) {
	if len(p.marks) == 0 {
		return mark{}, false
	}
	return p.marks[len(p.marks)-1], true
}

// age returns the age of the run at the newest percentage.
func (p *Pace) age() time.Duration {
	last, _ := p.last()
	return last.age
}

// provesLong reports whether the runs of a worker show that one of them is a long task: it lags as
// it did elsewhere, or another one neither lags nor has lost pace.
func (c PaceCounts) provesLong() bool {
	return c.LongTask || c.lagging > 0 && c.sound > 0 && c.laggingFor >= longTaskAge
}
