// Package indexer holds a directory of the engines that probably cache the prompt prefixes which
// requests share.
//
// Routers report to keepers which engines have prefilled which prefixes of their requests. Keepers merge the reports,
// exchange them, and tell all routers what has changed. A router that sends a request to an engine
// without its prefix can name another engine from which the prefix is fetched, which takes a tenth of
// the time of prefilling it again.
//
// An entry says only that an engine has prefilled a prefix, not that it is still cached. Engines evict the least
// recently used prefixes, so that an entry expires a short time after its last refresh. Revisions of a
// Directory have a meaning only for the process that has it.
//
// Invariants: a directory never has more than MaxEntries entries; an entry is returned only within
// TTL of its last refresh; merging an entry again that was just refreshed changes nothing, so that
// reports which several routers or keepers send at once are passed on once.
package indexer

import "time"

const (
	// TTL is how long an entry counts after its last refresh. An engine under full load fills its
	// cache within some ten seconds.
	TTL = 6 * time.Second
	// RefreshInterval is the minimum age of an entry that is reported again, so that two reports in a
	// row may be lost before a prefix in use expires.
	RefreshInterval = 2 * time.Second
	// mergeInterval is the minimum age of an entry that a merge refreshes. It is shorter than
	// RefreshInterval by more than the time that reports take, which varies: otherwise every other
	// report would come too early.
	mergeInterval = 1500 * time.Millisecond
	// MaxEntries bounds the entries of a directory, at some 200 bytes each.
	MaxEntries = 1 << 14
	// MaxReported bounds the entries in one report or answer.
	MaxReported = 512
)

// Holding says that an engine probably caches a prefix.
type Holding struct {
	Prefix   uint64 // key of the prefix: model and parts, in order
	Endpoint uint64 // key of the engine's lifetime, as in load reports
}

// Directory holds which engines cache which prefixes. Its zero value is empty. It is not safe for
// concurrent use. The time that is passed to its methods must not decrease.
type Directory struct {
	entries  map[Holding]*entry
	byPrefix map[uint64][]*entry
	// newest and oldest are the ends of a list of all entries in the order of their last refresh, which
	// is that of their revisions.
	newest, oldest *entry
	revision       uint64
}

// entry is an element of the list of a Directory.
type entry struct {
	Holding
	refreshed    time.Time
	revision     uint64
	newer, older *entry
}

// Merge adds an entry or refreshes it. It reports false, and changes nothing, if the entry has been
// refreshed less than mergeInterval ago.
func (d *Directory) Merge(now time.Time, holding Holding) bool {
	d.expire(now)
	known, found := d.entries[holding]
	if found && now.Sub(known.refreshed) < mergeInterval {
		return false
	}
	if found {
		d.unlink(known)
	} else {
		known = d.add(holding)
	}
	d.revision++
	known.refreshed, known.revision = now, d.revision
	d.link(known)
	return true
}

// Due reports whether an entry is to be reported: it is missing, or its last refresh is
// RefreshInterval ago.
func (d *Directory) Due(now time.Time, holding Holding) bool {
	known, found := d.entries[holding]
	return !found || now.Sub(known.refreshed) >= RefreshInterval
}

// Holders calls visit with the key of each engine that probably caches a prefix.
func (d *Directory) Holders(now time.Time, prefix uint64, visit func(endpoint uint64)) {
	for _, e := range d.byPrefix[prefix] {
		if now.Sub(e.refreshed) < TTL {
			visit(e.Endpoint)
		}
	}
}

// Since returns the entries that were refreshed after a revision, newest first, and the current
// revision. It omits those whose last refresh is RefreshInterval ago: the receiver takes them for new.
// It returns at most MaxReported entries: those that are left out are refreshed again within
// RefreshInterval if they are in use, while a receiver that got the oldest first would fall behind
// until all that it gets has expired.
func (d *Directory) Since(now time.Time, revision uint64) ([]Holding, uint64) {
	d.expire(now)
	if revision > d.revision {
		revision = 0 // of another directory
	}
	return d.collect(now, func(e *entry) bool { return e.revision > revision }), d.revision
}

// RefreshedSince returns the entries that were refreshed at or after a time, newest first, at most
// MaxReported. Like Since, it omits old entries.
func (d *Directory) RefreshedSince(now, since time.Time) []Holding {
	d.expire(now)
	return d.collect(now, func(e *entry) bool { return !e.refreshed.Before(since) })
}

// collect returns up to MaxReported entries from the newest on, until one is old or isn't wanted.
func (d *Directory) collect(now time.Time, wanted func(e *entry) bool) []Holding {
	var found []Holding
	for e := d.newest; e != nil && len(found) < MaxReported && now.Sub(e.refreshed) < RefreshInterval && wanted(e); e = e.older {
		found = append(found, e.Holding)
	}
	return found
}

// RemoveEndpoint removes all entries of one lifetime of an engine, which has lost its cache.
func (d *Directory) RemoveEndpoint(endpoint uint64) {
	for e := d.newest; e != nil; {
		older := e.older
		if e.Endpoint == endpoint {
			d.remove(e)
		}
		e = older
	}
}

// Len returns the number of entries that have not expired.
func (d *Directory) Len(now time.Time) int {
	d.expire(now)
	return len(d.entries)
}

// expire removes the entries whose last refresh is TTL ago.
func (d *Directory) expire(now time.Time) {
	for d.oldest != nil && now.Sub(d.oldest.refreshed) >= TTL {
		d.remove(d.oldest)
	}
}

// add adds an entry that is not in the list yet, and removes the oldest one if there are too many.
func (d *Directory) add(holding Holding) *entry {
	if d.entries == nil {
		d.entries, d.byPrefix = make(map[Holding]*entry), make(map[uint64][]*entry)
	}
	if len(d.entries) >= MaxEntries {
		d.remove(d.oldest)
	}
	added := &entry{Holding: holding}
	d.entries[holding] = added
	d.byPrefix[holding.Prefix] = append(d.byPrefix[holding.Prefix], added)
	return added
}

// remove removes an entry.
func (d *Directory) remove(e *entry) {
	d.unlink(e)
	delete(d.entries, e.Holding)
	holders := d.byPrefix[e.Prefix]
	for i, other := range holders {
		if other == e {
			holders[i] = holders[len(holders)-1]
			holders[len(holders)-1] = nil
			holders = holders[:len(holders)-1]
			break
		}
	}
	if len(holders) == 0 {
		delete(d.byPrefix, e.Prefix)
		return
	}
	d.byPrefix[e.Prefix] = holders
}

// link makes an entry the newest of the list.
func (d *Directory) link(e *entry) {
	e.older, e.newer = d.newest, nil
	if d.newest != nil {
		d.newest.newer = e
	} else {
		d.oldest = e
	}
	d.newest = e
}

// unlink takes an entry out of the list.
func (d *Directory) unlink(e *entry) {
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		d.newest = e.older
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		d.oldest = e.newer
	}
	e.newer, e.older = nil, nil
}
