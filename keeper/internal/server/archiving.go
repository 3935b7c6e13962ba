package server

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"shallotkeel.example/keeper/internal/archiver"
	"shallotkeel.example/lib/lister"
)

// archiveInterval is the pause between two checks whether the list of endpoints has changed
// since its copy was last written to disk. It bounds how often the copy causes a disk sync.
const archiveInterval = time.Second

// restore loads the list of endpoints that was on disk before a restart. A copy that is missing,
// stale or damaged leaves the list empty until endpoints send heartbeats.
func (s *Server) restore() {
	if s.settings.Platform == nil {
		return
	}
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

// archive writes a copy of the list of endpoints to disk whenever the list has changed, until
// the context ends. It runs in a goroutine of its own, and no other goroutine waits for it,
// because a disk may hang.
func (s *Server) archive(ctx context.Context) {
	written := uint64(0)
	for s.pause(ctx, archiveInterval) == nil {
		revision, listings := s.directory.listingsIfChanged(written)
		if revision == written {
			continue
		}
		if err := archiver.Write(s.files, s.clock.Now(), listings); err != nil {
			if s.archiveDamper.Admit(s.clock.Now(), s.log) {
				s.log.Warn().Err(err).Msg("endpoint list copy could not be written to disk; retrying")
			}
			continue
		}
		written = revision
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
