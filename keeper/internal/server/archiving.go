package server

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"shallotkeel.example/keeper/internal/archiver"
	"shallotkeel.example/lib/lister"
)

// archivePause is the pause between two looks whether the list of endpoints has changed
// since its copy was written. It bounds how often the disk is synced for it.
const archivePause = time.Second

// restore begins with the list of endpoints of before a restart, if there is a copy.
func (s *Server) restore() {
	if s.settings.Platform == nil {
		return
	}
	listings, err := archiver.Read(s.files, s.clock.Now())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return
	case err != nil:
		s.log.Warn().Err(err).Msg("the copy of the endpoints is not used; they tell again where they are")
		return
	}
	s.directory.restore(s.clock.Now(), listings)
	s.log.Info().Int("endpoints", len(listings)).Msg("endpoints taken from the copy")
}

// archive keeps the copy of the list of endpoints, until the context ends. It has a thread of
// its own that nobody waits for, because a disk may hang.
func (s *Server) archive(ctx context.Context) {
	written := uint64(0)
	for s.pause(ctx, archivePause) == nil {
		revision, listings := s.directory.copied(written)
		if revision == written {
			continue
		}
		if err := archiver.Write(s.files, s.clock.Now(), listings); err != nil {
			if s.archiveDamper.Admit(s.clock.Now(), s.log) {
				s.log.Warn().Err(err).Msg("the copy of the endpoints was not written; it is tried again")
			}
			continue
		}
		written = revision
	}
}

// restore fills an empty list. What it holds is as good as late heartbeats: whatever an
// endpoint or another keeper says from now on wins.
func (d *directory) restore(now time.Time, listings []lister.Listing) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, listing := range listings {
		listing.WasSilent = listing.Silent
		d.list.Beat(now, listing)
	}
}

// copied returns the whole list if it has changed behind a revision.
func (d *directory) copied(revision uint64) (uint64, []lister.Listing) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.list.Revision() == revision {
		return revision, nil
	}
	return d.list.Revision(), d.list.Since(0)
}
