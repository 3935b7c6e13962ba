package server

import (
	"errors"
	"io/fs"
	"time"

	"shallotkeel.example/keeper/internal/archiver"
	"shallotkeel.example/lib/lister"
)

const (
	// archiveInterval is the pause between two checks whether the list of endpoints, or what is known of
	// crashes, has changed since its copy was last written to disk. It bounds how often the copies cause
	// disk syncs, and what is lost if all processes are killed.
	archiveInterval = time.Second
	// lastArchiveTime bounds the time for which a planned stop waits for the last copies: a disk may hang.
	lastArchiveTime = time.Second
)

// archived holds the revisions of the copies on disk.
type archived struct {
	listings uint64
	crashes  uint64
}

// restore loads the soft state that was on disk before a restart.
func (s *Server) restore() {
	s.restoreCrashes()
	if s.settings.Platform != nil {
		s.restoreListings()
	}
}

// restoreCrashes loads what this keeper knew of crashes. Without a copy it learns what routers and other
// keepers still know.
func (s *Server) restoreCrashes() {
	evidence, err := archiver.ReadCrashes(s.files, s.clock.Now())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return
	case err != nil:
		s.log.Warn().Err(err).Msg("copy of known crashes on disk is unusable; older crashes are known as far as routers and other keepers tell them again")
		return
	}
	s.directory.restoreCrashes(s.clock.Now(), evidence)
	s.log.Info().Int("crashes", len(evidence.Crashes)).Int("answers", len(evidence.Answers)).Msg("restored the known crashes from the copy on disk")
}

// restoreListings loads the list of endpoints. A copy that is missing, stale or damaged leaves the list
// empty until endpoints send heartbeats.
func (s *Server) restoreListings() {
	listings, err := archiver.Read(s.files, s.clock.Now())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return
	case err != nil:
		s.log.Warn().Err(err).Msg("endpoint list copy on disk is unusable; starting with an empty list until endpoints send heartbeats")
		return
	}
	s.directory.restore(s.clock.Now(), listings)
	leaving := 0
	for i := range listings {
		if listings[i].State != lister.Ready {
			leaving++
		}
	}
	s.log.Info().Int("endpoints", len(listings)).Int("leaving", leaving).Msg("restored the endpoint list from the copy on disk")
}

// archive writes copies of the soft state to disk whenever it has changed, until last is closed, and a
// last time then. It runs in a goroutine of its own, and no other goroutine waits long for it, because a
// disk may hang.
func (s *Server) archive(last <-chan struct{}) {
	var written archived
	for stopping := false; !stopping; {
		select {
		case <-last:
			stopping = true
		case <-s.clock.After(archiveInterval):
		}
		s.archiveCrashes(&written)
		s.archiveListings(&written)
	}
}

// archiveListings writes the list of endpoints if it has changed.
func (s *Server) archiveListings(written *archived) {
	revision, listings := s.directory.listingsIfChanged(written.listings)
	if revision != written.listings && s.isArchived("endpoint list copy", archiver.Write(s.files, s.clock.Now(), listings)) {
		written.listings = revision
	}
}

// archiveCrashes writes what is known of crashes if it has changed.
func (s *Server) archiveCrashes(written *archived) {
	revision, evidence := s.directory.crashEvidence(written.crashes)
	if revision != written.crashes && s.isArchived("copy of known crashes", archiver.WriteCrashes(s.files, s.clock.Now(), evidence)) {
		written.crashes = revision
	}
}

// isArchived reports whether a copy was written, and logs why not.
func (s *Server) isArchived(what string, err error) bool {
	if err != nil && s.archiveDamper.Admit(s.clock.Now(), s.log) {
		s.log.Warn().Err(err).Msg(what + " could not be written to disk; retrying")
	}
	return err == nil
}

// awaitArchive waits until the last copies have been written, for lastArchiveTime at most.
func (s *Server) awaitArchive(written <-chan struct{}) {
	select {
	case <-written:
	case <-s.clock.After(lastArchiveTime):
		s.log.Warn().Msg("the last copies of the soft state are not on disk: the disk is slow; what changed in the last second is lost")
	}
}

// restore fills an empty list from a copy. The restored listings have the weight of late
// heartbeats: any later heartbeat of an endpoint or update of another keeper overrides them.
func (d *directory) restore(now time.Time, listings []lister.Listing) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, listing := range listings {
		listing.WasSilent = listing.Silent
		d.list.ApplyHeartbeat(now, listing)
		d.mixed.observe(listing)
	}
}

// listingsIfChanged returns the current revision of the list, and the whole list if that
// revision differs from the given one.
func (d *directory) listingsIfChanged(revision uint64) (uint64, []lister.Listing) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.list.Revision() == revision {
		return revision, nil
	}
	return d.list.Revision(), d.list.Since(0)
}
