// Package accountant keeps one service counter per workspace, merged over all
// schedulers of a service.
//
// Every scheduler life is an origin with a row per workspace: units charged,
// virtual units lifted and virtual units forgiven. A row only grows and only
// its origin raises it, so rows are merged by maximum, and exchanges that are
// lost, repeated or reordered change nothing but the time at which they count.
//
// A workspace's counter is
//
//	base + sum of charged/weight over origins + max lifted - max forgiven - absorbed
//
// where base is the collapsed history with which an origin joined. Lifting and
// forgiving take the maximum, not the sum, because two origins that cannot see
// one another lift the same workspace for the same reason. Absorbed is what the
// maxima held when this ledger first saw them, and what it does not let count:
// they are measured from the base of whoever lifted, which may be another one.
//
// Invariants: charges count with the weight in force when they are learned, so
// that a change of weight never rewrites the past; an origin's row counts once.
package accountant

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Row is one workspace's row of an origin, or the collapsed rows of all.
type Row struct {
	Charged  uint64 // units
	Lifted   uint64 // units by weight
	Forgiven uint64 // units by weight
}

// Entry is a row with its workspace.
type Entry struct {
	Workspace string
	Row
}

// Limits of memory and of the exchange.
const (
	// MaxAccounts bounds the workspaces with an account of their own; all
	// beyond share one, which is unfair among them but bounded.
	MaxAccounts = 16384
	// MaxOrigins bounds the remote scheduler lives whose rows are kept; the one
	// heard least recently is dropped, which loses only its repeats.
	MaxOrigins = 256
	// absorbContact is how much contact with an origin it takes until a row seen
	// for the first time is new and not older than this ledger. It exceeds
	// the longest interval at which unchanged rows are sent again.
	absorbContact = 90 * time.Second
	// contactGap is the longest silence that counts as contact.
	contactGap = time.Second
	// rejoinSilence is the silence of an origin that counts as a cut, if it is also
	// rejoinIntervals times as long as usual; rejoinTime is how long its rows after
	// that bring what the cut held back.
	rejoinSilence   = 2 * time.Second
	rejoinIntervals = 4
	rejoinTime      = time.Second
	intervalGain    = 1.0 / 4
	intervalMost    = 15 * time.Second
)

// Ledger holds all accounts as one origin sees them. The zero value is empty
// and ready to use.
type Ledger struct {
	accounts map[string]*Account
	order    []*Account // by creation, so that walks are deterministic
	origins  map[uint64]*origin
}

// origin is what is known of a remote scheduler life.
type origin struct {
	rows    map[string]Row
	heard   time.Time
	contact time.Duration
	every   time.Duration // mean time between its messages
	rejoin  time.Time     // end of the last cut, zero if there was none
}

// Account is one workspace's counter. Its ledger makes it.
type Account struct {
	Workspace string
	weight    float64
	served    float64 // units by weight, all origins and the base
	total     uint64  // units, all origins and the base, for the collapsed history
	base      Row
	own       Row
	lifted    uint64 // maximum over origins
	forgiven  uint64
	absorbed  float64 // of lifted, less that of forgiven
	resend    resend
}

// Account returns the workspace's account, made on first use with weight 1.
func (l *Ledger) Account(workspace string) *Account {
	if known, found := l.accounts[workspace]; found {
		return known
	}
	if len(l.order) >= MaxAccounts {
		workspace = ""
		if shared, found := l.accounts[workspace]; found {
			return shared
		}
	}
	if l.accounts == nil {
		l.accounts = make(map[string]*Account)
	}
	account := &Account{Workspace: workspace, weight: 1}
	l.accounts[workspace] = account
	l.order = append(l.order, account)
	return account
}

// Accounts lists all accounts in the order in which they were made.
func (l *Ledger) Accounts() []*Account {
	return l.order
}

// SetWeight sets the weight of charges from now on.
func (a *Account) SetWeight(weight float64) {
	if weight > 0 && !math.IsInf(weight, 0) {
		a.weight = weight
	}
}

// Weight returns the weight in force.
func (a *Account) Weight() float64 {
	return a.weight
}

// Charge adds units to the own row.
func (a *Account) Charge(units uint64) {
	if units == 0 {
		return
	}
	a.own.Charged += units
	a.count(units)
	a.resend.changed()
}

func (a *Account) count(units uint64) {
	a.total += units
	a.served += float64(units) / a.weight
}

// Counter returns the service that the workspace has had, in units by weight.
func (a *Account) Counter() float64 {
	return a.served + a.moved()
}

// moved is what lifting and forgiving have added in all.
func (a *Account) moved() float64 {
	return float64(a.lifted) - float64(a.forgiven) - a.absorbed
}

// Absorb lets units by weight, by which other origins lifted the workspace, not
// count here.
func (a *Account) Absorb(units float64) {
	a.absorbed += units
}

// Own returns the own row.
func (a *Account) Own() Row {
	return a.own
}

// LiftTo raises the counter to at least this value, so that time without work
// banks no credit.
func (a *Account) LiftTo(counter float64) {
	missing := counter - a.Counter()
	if missing < 1 {
		return
	}
	a.lifted += uint64(missing)
	a.own.Lifted = a.lifted
	a.resend.changed()
}

// ForgiveTo lowers the counter to at most this value, so that a workspace that
// is far ahead after a cut does not starve to repay.
func (a *Account) ForgiveTo(counter float64) {
	excess := a.Counter() - counter
	if excess < 1 {
		return
	}
	a.forgiven += uint64(excess)
	a.own.Forgiven = a.forgiven
	a.resend.changed()
}

// Change is an account whose counter moved.
type Change struct {
	Account *Account
	Jump    float64 // units by weight
	Lift    float64 // the part of Jump that other origins lifted
	// Rejoined says that the origin had been silent for so long that the jump is
	// what happened during a cut, and not between two exchanges.
	Rejoined bool
}

// Merge takes an origin's rows in and returns the accounts that changed.
//
// The rows of an origin that is older than this ledger are in the base
// already, or were never known here; counting them would charge a workspace
// twice. So a row seen for the first time, while contact with its origin is
// young, counts only from then on. What is lost for a truly new origin is its
// charges of one exchange interval.
func (l *Ledger) Merge(now time.Time, from uint64, entries []Entry) []Change {
	known := l.origin(now, from)
	var changes []Change
	for _, entry := range entries {
		change := l.mergeRow(known, entry)
		if change.Jump != 0 {
			change.Rejoined = !known.rejoin.IsZero() && now.Sub(known.rejoin) <= rejoinTime
			changes = append(changes, change)
		}
	}
	return changes
}

func (l *Ledger) mergeRow(from *origin, entry Entry) Change {
	before, seen := from.rows[entry.Workspace]
	if !seen && len(from.rows) >= MaxAccounts {
		return Change{}
	}
	account := l.Account(entry.Workspace)
	merged := before.max(entry.Row)
	from.rows[entry.Workspace] = merged
	counter := account.Counter()
	lift := account.raise(merged)
	if seen || from.contact >= absorbContact {
		account.count(merged.Charged - before.Charged)
	} else {
		account.Absorb(lift)
		lift = 0
	}
	return Change{Account: account, Jump: account.Counter() - counter, Lift: lift}
}

// raise takes the maxima of lifted and forgiven in and returns what they add. The
// own row carries them on, or a scheduler that was elected after their origin's
// end would never hear of them; they travel when the row is sent for its charges.
func (a *Account) raise(row Row) float64 {
	before := a.moved()
	a.lifted = max(a.lifted, row.Lifted)
	a.forgiven = max(a.forgiven, row.Forgiven)
	a.own.Lifted, a.own.Forgiven = a.lifted, a.forgiven
	return a.moved() - before
}

func (r Row) max(other Row) Row {
	return Row{
		Charged:  max(r.Charged, other.Charged),
		Lifted:   max(r.Lifted, other.Lifted),
		Forgiven: max(r.Forgiven, other.Forgiven),
	}
}

func (l *Ledger) origin(now time.Time, id uint64) *origin {
	known, found := l.origins[id]
	if !found {
		if l.origins == nil {
			l.origins = make(map[uint64]*origin)
		}
		l.dropOldest()
		known = &origin{rows: make(map[string]Row), heard: now}
		l.origins[id] = known
	}
	if silence := now.Sub(known.heard); silence > 0 {
		known.contact += min(silence, contactGap)
		if silence > max(rejoinSilence, rejoinIntervals*known.every) {
			known.rejoin = now
		}
		known.every += time.Duration(intervalGain * float64(min(silence, intervalMost)-known.every))
		known.heard = now
	}
	return known
}

// dropOldest keeps the number of origins bounded: every restart of a scheduler
// anywhere makes a new one.
func (l *Ledger) dropOldest() {
	if len(l.origins) < MaxOrigins {
		return
	}
	var oldest uint64
	for id, known := range l.origins {
		other := l.origins[oldest]
		if other == nil || known.heard.Before(other.heard) || (known.heard.Equal(other.heard) && id < oldest) {
			oldest = id
		}
	}
	delete(l.origins, oldest)
}

// Join takes a peer's collapsed history in as the base. More than one history
// is merged by maximum.
func (l *Ledger) Join(entries []Entry) {
	for _, entry := range entries {
		account := l.Account(entry.Workspace)
		merged := account.base.max(entry.Row)
		account.count(merged.Charged - account.base.Charged)
		account.lifted += merged.Lifted - account.base.Lifted
		account.forgiven += merged.Forgiven - account.base.Forgiven
		account.base = merged
	}
}

// Collapse returns everything known here as one row per workspace, sorted by
// workspace, for an origin that joins.
func (l *Ledger) Collapse() []Entry {
	entries := make([]Entry, 0, len(l.order))
	for _, account := range l.order {
		row := Row{Charged: account.total}
		if moved := account.moved(); moved >= 0 {
			row.Lifted = uint64(moved)
		} else {
			row.Forgiven = uint64(-moved)
		}
		if row != (Row{}) {
			entries = append(entries, Entry{Workspace: account.Workspace, Row: row})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return entries
}
