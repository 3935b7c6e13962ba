package accountant

import (
	"cmp"
	"slices"
	"time"
)

// minResendInterval and maxResendInterval bound the interval between two transmissions of a row.
// Every message may be lost, so that a row is resent at doubling intervals after it has stopped
// changing.
const (
	minResendInterval = 200 * time.Millisecond
	maxResendInterval = 60 * time.Second
)

// resend schedules the transmission of an account's own row.
type resend struct {
	dirty       bool // changed since the row was last sent
	interval    time.Duration
	due         time.Time // time of the next transmission
	everSent    bool
	sentCharged uint64 // units charged when the row was last sent
}

func (r *resend) changed() {
	r.dirty = true
}

// markSent records that the row is sent in the current exchange. A row that keeps changing is sent
// at most once per minResendInterval, so that separate calls for each zone, or calls that are too
// frequent, cost no more bytes.
func (a *Account) markSent(now time.Time) {
	r := &a.resend
	if r.dirty {
		r.interval = minResendInterval
	} else {
		r.interval = min(2*r.interval, maxResendInterval)
	}
	r.dirty = false
	r.everSent = true
	r.due = now.Add(r.interval)
	r.sentCharged = a.own.Charged
}

// isDue reports whether the row may be sent in an exchange now.
func (r *resend) isDue(now time.Time) bool {
	switch {
	case !r.everSent:
		return r.dirty
	case r.dirty && r.due.Sub(now) > minResendInterval:
		return true
	default:
		return !now.Before(r.due)
	}
}

// ResendAll makes every own row that was ever sent due. After a partition the other side must learn
// at once what happened meanwhile, also for workspaces that have no work any more.
func (l *Ledger) ResendAll() {
	for _, account := range l.order {
		if account.resend.everSent {
			account.resend.changed()
		}
	}
}

// Due returns the own rows that are due in an exchange, sorted by workspace: rows that have
// changed, and rows whose resend interval is over.
func (l *Ledger) Due(now time.Time) []Entry {
	return l.Urgent(now, len(l.order), nil)
}

// Urgent returns at most limit of the due rows, sorted by workspace: the ones with the highest
// product of unsent charge and the workspace's urgency. The other rows stay due.
func (l *Ledger) Urgent(now time.Time, limit int, urgency func(workspace string) float64) []Entry {
	var due []*Account
	for _, account := range l.order {
		if account.resend.isDue(now) {
			due = append(due, account)
		}
	}
	if len(due) > limit {
		priorities := make(map[*Account]float64, len(due))
		for _, account := range due {
			priorities[account] = account.unsentCharge() * urgency(account.Workspace)
		}
		slices.SortStableFunc(due, func(a, b *Account) int { return cmp.Compare(priorities[b], priorities[a]) })
		due = due[:limit]
	}
	var entries []Entry
	for _, account := range due {
		account.markSent(now)
		entries = append(entries, Entry{Workspace: account.Workspace, Row: account.own})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return entries
}

// unsentCharge returns the units that were charged since the row was last sent, divided by weight,
// plus one, so that a row that is only resent is also selected at some time.
func (a *Account) unsentCharge() float64 {
	return float64(a.own.Charged-a.resend.sentCharged)/a.weight + 1
}
