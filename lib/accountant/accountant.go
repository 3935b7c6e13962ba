// Package accountant keeps one service counter per workspace, merged over all schedulers of a
// service.
//
// Each run of a scheduler process is an origin. It has a row per workspace: units charged, virtual
// units lifted and virtual units forgiven. A row only grows and only its origin raises it, so that
// rows are merged by maximum. Lost, repeated or reordered exchanges change only the time at which
// rows count.
//
// A workspace's counter is
//
//	base + sum of charged/weight over origins + max lifted - max forgiven - absorbed
//
// where base is the collapsed history with which an origin joined. Lifting and forgiving take the
// maximum, not the sum, because two origins that cannot reach one another lift the same workspace
// for the same reason. Absorbed is the part of these maxima that does not count in this ledger:
// their values when the ledger first received them, and the units given to Absorb. Both were
// measured from the base of the origin that lifted, which may differ from this ledger's.
//
// Invariants: charges count with the weight in force when this ledger learns of them, so that a
// change of weight never rewrites the past; an origin's row counts once.
package accountant

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Row is one workspace's row of an origin, or the collapsed rows of all origins.
type Row struct {
	Charged  uint64 // units
	Lifted   uint64 // units divided by weight
	Forgiven uint64 // units divided by weight
}

// Entry is a row with its workspace.
type Entry struct {
	Workspace string
	Row
}

// Limits of the memory and of the exchange.
const (
	// MaxAccounts bounds the workspaces that have an account of their own. All further workspaces
	// share one account, which is unfair among them but bounded.
	MaxAccounts = 16384
	// MaxOrigins bounds the remote origins whose rows are kept. The least recently received one is
	// dropped, which loses only its resent rows.
	MaxOrigins = 256
	// minContact is the duration of contact with an origin after which a row received for the first
	// time is new, rather than older than this ledger. It exceeds the longest interval at which
	// unchanged rows are resent.
	minContact = 90 * time.Second
	// maxContactGap is the longest silence that counts as contact.
	maxContactGap = time.Second
	// rejoinSilence is the silence of an origin that counts as a network partition, if it is also
	// rejoinIntervals times as long as the origin's mean interval. rejoinTime is the period after
	// the partition in which the origin's rows carry the charges that the partition held back.
	// intervalGain is the EWMA weight of one interval, and maxInterval bounds the interval that is
	// averaged.
	rejoinSilence   = 2 * time.Second
	rejoinIntervals = 4
	rejoinTime      = time.Second
	intervalGain    = 1.0 / 4
	maxInterval     = 15 * time.Second
)

// Ledger holds the accounts of all workspaces as one origin sees them. The zero value is empty and
// ready to use. Ledger is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*Account
	order    []*Account // by creation, so that iteration is deterministic
	origins  map[uint64]*origin
}

// origin is the state received from one remote run of a scheduler.
type origin struct {
	rows         map[string]Row
	lastReceived time.Time
	contact      time.Duration
	interval     time.Duration // EWMA of the time between its messages
	rejoined     time.Time     // end of the last partition, zero if there was none
}

// Account is one workspace's counter. Ledger.Account creates it.
type Account struct {
	Workspace string
	weight    float64
	served    float64 // units divided by weight, all origins and the base
	total     uint64  // units, all origins and the base, for Collapse
	base      Row
	own       Row
	lifted    uint64 // maximum over origins
	forgiven  uint64
	absorbed  float64 // part of lifted that does not count, less that of forgiven
	resend    resend
}

// Account returns the workspace's account. It is created on first use with weight 1.
func (l *Ledger) Account(workspace string) *Account {
	if existing, found := l.accounts[workspace]; found {
		return existing
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

// Accounts returns all accounts in the order of their creation.
func (l *Ledger) Accounts() []*Account {
	return l.order
}

// SetWeight sets the weight of charges from now on. Weights that are not positive and finite are
// ignored.
func (a *Account) SetWeight(weight float64) {
	if weight > 0 && !math.IsInf(weight, 0) {
		a.weight = weight
	}
}

// Weight returns the weight in force.
func (a *Account) Weight() float64 {
	return a.weight
}

// Charge adds units to the workspace's own row.
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

// Counter returns the service that the workspace has received, in units divided by weight.
func (a *Account) Counter() float64 {
	return a.served + a.adjustment()
}

// adjustment returns the total of lifting and forgiving that counts here.
func (a *Account) adjustment() float64 {
	return float64(a.lifted) - float64(a.forgiven) - a.absorbed
}

// Absorb excludes units, divided by weight, by which other origins lifted the workspace, from the
// counter.
func (a *Account) Absorb(units float64) {
	a.absorbed += units
}

// Own returns the row of this ledger's own origin.
func (a *Account) Own() Row {
	return a.own
}

// LiftTo raises the counter to at least the given value, so that idle time accumulates no credit.
func (a *Account) LiftTo(counter float64) {
	missing := counter - a.Counter()
	if missing < 1 {
		return
	}
	a.lifted += uint64(missing)
	a.own.Lifted = a.lifted
	a.resend.changed()
}

// ForgiveTo lowers the counter to at most the given value, so that a workspace that is far ahead
// after a partition does not starve until it has repaid.
func (a *Account) ForgiveTo(counter float64) {
	excess := a.Counter() - counter
	if excess < 1 {
		return
	}
	a.forgiven += uint64(excess)
	a.own.Forgiven = a.forgiven
	a.resend.changed()
}

// Change describes an account whose counter has changed through Merge.
type Change struct {
	Account *Account
	Jump    float64 // change of the counter, in units divided by weight
	Lift    float64 // the part of Jump that comes from lifts of other origins
	// Rejoined is set if the origin had been silent for so long that the jump covers a partition
	// rather than the time between two exchanges.
	Rejoined bool
}

// Merge merges the rows of an origin and returns the accounts whose counters changed.
//
// The rows of an origin that is older than this ledger are in the base already, or were never
// received here; counting them would charge a workspace twice. A row that is received for the first
// time while contact with its origin is young therefore counts only from then on. For an origin
// that is actually new, this loses the charges of one exchange interval.
func (l *Ledger) Merge(now time.Time, from uint64, entries []Entry) []Change {
	remote := l.origin(now, from)
	var changes []Change
	for _, entry := range entries {
		change := l.mergeRow(remote, entry)
		if change.Jump != 0 {
			change.Rejoined = !remote.rejoined.IsZero() && now.Sub(remote.rejoined) <= rejoinTime
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
	lift := account.mergeMaxima(merged)
	if seen || from.contact >= minContact {
		account.count(merged.Charged - before.Charged)
	} else {
		account.Absorb(lift)
		lift = 0
	}
	return Change{Account: account, Jump: account.Counter() - counter, Lift: lift}
}

// mergeMaxima merges a row's lifted and forgiven units into the maxima and returns the resulting
// change of the counter.
// The account's own row repeats them; otherwise a scheduler that is elected after the end of their
// origin would never receive them. They are sent when the row is sent for its charges.
func (a *Account) mergeMaxima(row Row) float64 {
	before := a.adjustment()
	a.lifted = max(a.lifted, row.Lifted)
	a.forgiven = max(a.forgiven, row.Forgiven)
	a.own.Lifted, a.own.Forgiven = a.lifted, a.forgiven
	return a.adjustment() - before
}

func (r Row) max(other Row) Row {
	return Row{
		Charged:  max(r.Charged, other.Charged),
		Lifted:   max(r.Lifted, other.Lifted),
		Forgiven: max(r.Forgiven, other.Forgiven),
	}
}

func (l *Ledger) origin(now time.Time, id uint64) *origin {
	remote, found := l.origins[id]
	if !found {
		if l.origins == nil {
			l.origins = make(map[uint64]*origin)
		}
		l.dropOldest()
		remote = &origin{rows: make(map[string]Row), lastReceived: now}
		l.origins[id] = remote
	}
	if silence := now.Sub(remote.lastReceived); silence > 0 {
		remote.contact += min(silence, maxContactGap)
		if silence > max(rejoinSilence, rejoinIntervals*remote.interval) {
			remote.rejoined = now
		}
		remote.interval += time.Duration(intervalGain * float64(min(silence, maxInterval)-remote.interval))
		remote.lastReceived = now
	}
	return remote
}

// dropOldest bounds the number of origins: every restart of a scheduler anywhere creates a new one.
func (l *Ledger) dropOldest() {
	if len(l.origins) < MaxOrigins {
		return
	}
	var oldest uint64
	for id, remote := range l.origins {
		other := l.origins[oldest]
		if other == nil || remote.lastReceived.Before(other.lastReceived) || (remote.lastReceived.Equal(other.lastReceived) && id < oldest) {
			oldest = id
		}
	}
	delete(l.origins, oldest)
}

// Join adds a peer's collapsed history to the base. Several histories are merged by maximum.
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

// Collapse returns the complete state of this ledger as one row per workspace, sorted by workspace,
// for an origin that joins.
func (l *Ledger) Collapse() []Entry {
	entries := make([]Entry, 0, len(l.order))
	for _, account := range l.order {
		row := Row{Charged: account.total}
		if adjustment := account.adjustment(); adjustment >= 0 {
			row.Lifted = uint64(adjustment)
		} else {
			row.Forgiven = uint64(-adjustment)
		}
		if row != (Row{}) {
			entries = append(entries, Entry{Workspace: account.Workspace, Row: row})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return entries
}
