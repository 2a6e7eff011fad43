package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
)

// Settings of the proposer.
const (
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// settleWait is how long the proposer looks for its record after an append that failed,
	// before it appends again.
	settleWait = 300 * time.Millisecond
	// withdrawWait is how long the proposer tries to settle a record that it gives up.
	withdrawWait = time.Second
)

// ErrUnsettled says that a proposal may still be accepted or not: the log gives no answer.
var ErrUnsettled = errors.New("the log gives no answer; the change may or may not take effect")

// Proposer appends records and waits for their verdicts.
type Proposer struct {
	log     hosting.Log
	replica *Replica
	newID   func() string
}

// NewProposer returns a proposer that names its records with random ids.
func NewProposer(log hosting.Log, replica *Replica) *Proposer {
	return &Proposer{log: log, replica: replica, newID: uuid.NewString}
}

// Propose appends the record and returns its verdict once the replica has folded it in. If ctx
// ends first it withdraws the record, so that the verdict is still certain whenever the log
// answers; else the error is ErrUnsettled.
func (p *Proposer) Propose(ctx context.Context, r Record) (Verdict, error) {
	r = p.fill(r)
	data, err := r.Encode()
	if err != nil {
		return Verdict{}, fault.New("ledger.Propose", "", err)
	}
	for ctx.Err() == nil {
		if v, found := p.tryAppend(ctx, r.ID, data); found {
			return v, nil
		}
	}
	return p.withdraw(context.WithoutCancel(ctx), r.ID)
}

func (p *Proposer) fill(r Record) Record {
	if r.ID == "" {
		r.ID = p.newID()
	}
	r.Base = p.replica.State().Revision()
	r.At = time.Now().UnixMilli()
	return r
}

// tryAppend appends once and waits for the verdict: to the end of ctx after a good answer, a
// moment after a failure.
func (p *Proposer) tryAppend(ctx context.Context, id string, data []byte) (Verdict, bool) {
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := p.log.Append(bounded, hosting.LedgerStream, data)
	if err == nil {
		return p.await(ctx, id)
	}
	short, stop := context.WithTimeout(ctx, settleWait)
	defer stop()
	return p.await(short, id)
}

func (p *Proposer) await(ctx context.Context, id string) (Verdict, bool) {
	s, err := p.replica.Wait(ctx, func(s State) bool {
		_, found := s.Verdict(id)
		return found
	})
	if err != nil {
		return Verdict{}, false
	}
	return s.Verdict(id)
}

// withdraw settles a record that may or may not be in the log: whichever of it and the void
// comes first stands.
func (p *Proposer) withdraw(ctx context.Context, id string) (Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, withdrawWait)
	defer cancel()
	void := p.fill(Record{Void: &Void{ID: id}})
	data, err := void.Encode()
	if err != nil {
		return Verdict{}, fault.New("ledger.withdraw", "", err)
	}
	for ctx.Err() == nil {
		if v, found := p.tryAppend(ctx, id, data); found {
			return v, nil
		}
	}
	return Verdict{}, fault.New("ledger.Propose", hosting.LedgerStream, ErrUnsettled)
}
