package accountant

import (
	"cmp"
	"slices"
	"time"
)

// Intervals between sending one row. Every message may be lost, so a row is
// sent again after it stopped changing, less and less often.
const (
	resendFirst = 200 * time.Millisecond
	resendMost  = 60 * time.Second
)

// resend decides when an own row is due in an exchange.
type resend struct {
	dirty    bool
	every    time.Duration
	due      time.Time
	everSent bool
}

func (r *resend) changed() {
	r.dirty = true
}

// take tells whether the row goes into the exchange now. A row that keeps
// changing goes at most once per resendFirst, so that calling for each zone in
// turn or too often costs no more bytes.
func (r *resend) take(now time.Time) bool {
	if !r.dirty && !r.everSent {
		return false
	}
	if r.dirty {
		r.every = resendFirst
		if r.everSent && r.due.Sub(now) > resendFirst {
			r.due = now
		}
	}
	if r.everSent && now.Before(r.due) {
		return false
	}
	if !r.dirty {
		r.every = min(2*r.every, resendMost)
	}
	r.dirty = false
	r.everSent = true
	r.due = now.Add(r.every)
	return true
}

// ResendAll makes every own row due. After a cut the other side must learn at
// once what happened meanwhile, also of workspaces that have no work any more.
func (l *Ledger) ResendAll() {
	for _, account := range l.order {
		if account.resend.everSent {
			account.resend.changed()
		}
	}
}

// Due returns the own rows that are due in an exchange, sorted by workspace:
// those that changed, and those that were not sent for long.
func (l *Ledger) Due(now time.Time) []Entry {
	var entries []Entry
	for _, account := range l.order {
		if account.resend.take(now) {
			entries = append(entries, Entry{Workspace: account.Workspace, Row: account.own})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmpNames(a.Workspace, b.Workspace) })
	return entries
}

func cmpNames(a, b string) int {
	return cmp.Compare(a, b)
}
