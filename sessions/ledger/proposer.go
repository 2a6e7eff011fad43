package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
)

// Timeouts of the proposer.
const (
	// appendTimeout limits one append.
	appendTimeout = 2 * time.Second
	// verdictWait is how long the proposer waits for a verdict after a failed append before it
	// retries, because the record may be in the log despite the failure.
	verdictWait = 300 * time.Millisecond
	// withdrawTimeout limits the attempts to void a record.
	withdrawTimeout = time.Second
)

// ErrOutcomeUnknown means that a proposal may or may not be accepted, because the log does not
// respond.
var ErrOutcomeUnknown = errors.New("the log did not respond; the change may or may not take effect")

// Proposer appends records and waits for their verdicts. It is safe for concurrent use.
type Proposer struct {
	log     hosting.Log
	replica *Replica
	newID   func() string
}

// NewProposer returns a proposer for the log. The replica must follow the same log.
func NewProposer(log hosting.Log, replica *Replica) *Proposer {
	return &Proposer{log: log, replica: replica, newID: uuid.NewString}
}

// Propose appends the record and returns its verdict once the replica has applied it. If ctx
// ends first, Propose voids the record, so that the outcome is known as long as the log responds.
// If the log does not respond, the error wraps ErrOutcomeUnknown.
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

// tryAppend appends once and waits for the verdict: until ctx ends if the append succeeded, and for
// verdictWait if it failed.
func (p *Proposer) tryAppend(ctx context.Context, id string, data []byte) (Verdict, bool) {
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := p.log.Append(bounded, hosting.LedgerStream, data)
	if err == nil {
		return p.await(ctx, id)
	}
	short, stop := context.WithTimeout(ctx, verdictWait)
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

// withdraw appends a Void for a record that may or may not be in the log. Whichever of the two
// comes first in the log takes effect.
func (p *Proposer) withdraw(ctx context.Context, id string) (Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
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
	return Verdict{}, fault.New("ledger.Propose", hosting.LedgerStream, ErrOutcomeUnknown)
}
