package health

import "time"

const (
	// paceWindow is the shortest time over which a pace is measured.
	paceWindow = time.Second
	// paceMinPercent is the least progress by which an earlier pace is known, and the least that a
	// run would make by it in a later window. Percentages are whole, so that two of them differ by
	// one less or one more than the progress between them. With 4, a sound run counts as 0.6 times as
	// fast at worst, which is well above fallenShare.
	paceMinPercent = 4
	// fallenShare is the share of its earlier pace below which a run has lost pace, regainedShare the
	// one above which it has regained it. Workers that turn slow take eight times as long; workers of
	// one kind differ by a quarter.
	fallenShare   = 1.0 / 3
	regainedShare = 1.0 / 2
	// maxMarks bounds the memory of a run. Beyond, the older percentages are thinned out.
	maxMarks = 16
)

// PaceState compares the present pace of a run with its earlier pace.
type PaceState int

// The states of a pace.
const (
	// PaceUnknown: the run has not worked for long enough.
	PaceUnknown PaceState = iota
	PaceSteady
	// PaceFallen: the run has lost pace, and has not regained it.
	PaceFallen
	// PaceRegained: the run had lost pace.
	PaceRegained
	// PaceRisen: the run has become as much faster as one that has lost pace has become slower. It
	// began while its worker was slow.
	PaceRisen
	// PaceLagging: the run has not changed its pace, and makes far less progress than its siblings.
	PaceLagging
)

// Pace compares the progress of a run with its own earlier progress. A run that takes long from its
// begin on is a long task, and keeps its pace.
type Pace struct {
	first mark
	// marks are the percentages after the first one, newest last.
	marks []mark
	// usual is the earlier pace in percent per second. It is kept once the run has lost pace, since
	// it would follow the present one otherwise.
	usual  float64
	fallen bool
	state  PaceState
	// share is the present pace as a share of the earlier one.
	share float64

	// idle is the last percentage before the run made progress.
	idle mark
	// lags and keepsPace are the outcome of the latest comparison with siblings; neither is set if it
	// was not possible. siblingShare is the pace as a share of theirs.
	lags, keepsPace bool
	siblingShare    float64
}

// mark is a percentage that a run had at an age.
type mark struct {
	age     time.Duration
	percent int
}

// rate returns the progress since an earlier mark, in percent per second.
func (m mark) rate(since mark) float64 {
	return float64(m.percent-since.percent) / (m.age - since.age).Seconds()
}

// NewPace returns the pace of a run that had a percentage at an age. For a run that was begun from
// scratch both may be zero, also if it is observed later.
func NewPace(age time.Duration, percent int) *Pace {
	first := mark{age, percent}
	return &Pace{first: first, idle: first}
}

// State returns the state after the newest percentage. A change of the run's own pace says more
// than its siblings.
func (p *Pace) State() PaceState {
	if p.lags && (p.state == PaceUnknown || p.state == PaceSteady) {
		return PaceLagging
	}
	return p.state
}

// Share returns the present pace as a share of the earlier one, or of the siblings' pace if the run
// lags; the state must be known.
func (p *Pace) Share() float64 {
	if p.State() == PaceLagging {
		return p.siblingShare
	}
	return p.share
}

// Observe records the percentage of the run at an age. Reports of the same or an earlier age are
// ignored.
func (p *Pace) Observe(age time.Duration, percent int) {
	last := p.first
	if len(p.marks) > 0 {
		last = p.marks[len(p.marks)-1]
	}
	if age <= last.age {
		return
	}
	now := mark{age, percent}
	if percent <= p.first.percent {
		p.idle = now
	}
	p.judge(now)
	p.marks = append(p.marks, now)
	if len(p.marks) > maxMarks {
		p.thinOut()
	}
}

// judge compares the pace over the shortest window that is long enough with that before.
func (p *Pace) judge(now mark) {
	for i := len(p.marks) - 1; i >= 0; i-- {
		since := p.marks[i]
		if now.age-since.age < paceWindow {
			continue
		}
		usual := p.usual
		if usual == 0 {
			if since.age-p.first.age < paceWindow || since.percent-p.first.percent < paceMinPercent {
				return
			}
			usual = since.rate(p.first)
		}
		if usual*(now.age-since.age).Seconds() >= paceMinPercent {
			p.setState(usual, now.rate(since)/usual)
			return
		}
	}
}

func (p *Pace) setState(usual, share float64) {
	p.share = share
	switch {
	case share < fallenShare || p.fallen && share < regainedShare:
		p.usual, p.fallen, p.state = usual, true, PaceFallen
	case p.usual > 0:
		p.fallen, p.state = false, PaceRegained
	case share > 1/fallenShare:
		p.state = PaceRisen
	default:
		p.state = PaceSteady
	}
}

// thinOut drops every other mark of the older half.
func (p *Pace) thinOut() {
	kept := p.marks[:0]
	for i, m := range p.marks {
		if i >= maxMarks/2 || i%2 == 1 {
			kept = append(kept, m)
		}
	}
	p.marks = kept
}
