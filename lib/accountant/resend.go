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
	told     uint64 // units charged when the row was last sent
}

func (r *resend) changed() {
	r.dirty = true
}

// take notes that the row goes into the exchange now. A row that keeps
// changing goes at most once per resendFirst, so that calling for each zone in
// turn or too often costs no more bytes.
func (a *Account) take(now time.Time) {
	r := &a.resend
	if r.dirty {
		r.every = resendFirst
	} else {
		r.every = min(2*r.every, resendMost)
	}
	r.dirty = false
	r.everSent = true
	r.due = now.Add(r.every)
	r.told = a.own.Charged
}

// isDue tells whether the row may go into an exchange now.
func (r *resend) isDue(now time.Time) bool {
	switch {
	case !r.everSent:
		return r.dirty
	case r.dirty && r.due.Sub(now) > resendFirst:
		return true
	default:
		return !now.Before(r.due)
	}
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
	return l.Urgent(now, len(l.order), nil)
}

// Urgent returns up to a limit of the rows that are due: those with most that was
// not told, times what urgency says of the workspace. The others stay due.
func (l *Ledger) Urgent(now time.Time, limit int, urgency func(workspace string) float64) []Entry {
	var due []*Account
	for _, account := range l.order {
		if account.resend.isDue(now) {
			due = append(due, account)
		}
	}
	if len(due) > limit {
		worth := make(map[*Account]float64, len(due))
		for _, account := range due {
			worth[account] = account.untold() * urgency(account.Workspace)
		}
		slices.SortStableFunc(due, func(a, b *Account) int { return cmp.Compare(worth[b], worth[a]) })
		due = due[:limit]
	}
	var entries []Entry
	for _, account := range due {
		account.take(now)
		entries = append(entries, Entry{Workspace: account.Workspace, Row: account.own})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return entries
}

// untold is what was charged since the row was last sent, in units by weight, and
// one more, so that a row that only has to be repeated has its turn as well.
func (a *Account) untold() float64 {
	return float64(a.own.Charged-a.resend.told)/a.weight + 1
}
