// Package archiver keeps copies of a keeper's soft state on its disk: of the list of endpoints, and of
// what it knows of crashes.
//
// The list is soft state: heartbeats rebuild it within one heartbeat interval. After a power
// loss of the whole fleet, routers have a configuration and receive requests during that
// interval, but know no endpoints, or only the few whose heartbeats arrived first and which
// would get all the work. With the copy, routers start with the list from before the power loss.
//
// What is known of crashes has no other source once routers have started again, too: without the copy a
// request that crashes endpoints would be permitted further crashes after a planned restart of all.
//
// Invariants: the copy of the list has the weight of a late heartbeat, so that any later heartbeat
// overrides it; a copy of the list that is stale, and any that is damaged or missing, is not used; each
// crash in a copy keeps its age, the time in which no keeper ran included.
package archiver

import (
	"encoding/binary"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/recorder"
)

const (
	// fileName is the name of the file with the list of endpoints in the data folder, and crashesName of
	// that with the crashes.
	fileName    = "endpoints"
	crashesName = "crashes"
	// MaxAge is the maximum age of a usable copy of the list, by the wall clock. Every keeper that kept
	// running has dropped the endpoints of an older copy as lost.
	MaxAge = 30 * time.Second
	// timestampSize is the size in bytes of the time of writing, in Unix milliseconds, with which
	// the file starts.
	timestampSize = 8
)

// ErrStale means that the copy was written more than MaxAge ago, or that far in the future.
var ErrStale = merry.Sentinel("endpoint list copy is too old")

// Write replaces the copy with listings as of now, without those that cannot be encoded.
func Write(files recorder.FileSystem, now time.Time, listings []lister.Listing) error {
	return write(files, fileName, now, &messenger.FollowResponse{Listings: lister.EncodableToWire(listings, now)})
}

// WriteCrashes replaces the copy of what is known of crashes as of now.
func WriteCrashes(files recorder.FileSystem, now time.Time, evidence localizer.Report) error {
	message := &messenger.FollowRequest{}
	evidence.AddTo(message, now)
	return write(files, crashesName, now, message)
}

// write replaces a copy.
func write(files recorder.FileSystem, name string, now time.Time, message proto.Message) error {
	body := binary.LittleEndian.AppendUint64(nil, uint64(now.UnixMilli()))
	body, err := proto.MarshalOptions{}.MarshalAppend(body, message)
	if err != nil {
		return merry.Wrap(err)
	}
	return recorder.WriteAtomic(files, name, body)
}

// Read returns the listings of the copy. Its errors are ErrStale, recorder.ErrDamaged, lister.ErrWire
// and, if there is no copy, fs.ErrNotExist.
func Read(files recorder.FileSystem, now time.Time) ([]lister.Listing, error) {
	message := &messenger.FollowResponse{}
	written, err := read(files, fileName, message)
	if err != nil {
		return nil, err
	}
	if age := now.Sub(written); age > MaxAge || age < -MaxAge {
		return nil, merry.Errorf("%w: written at %s", ErrStale, written.UTC().Format(time.RFC3339))
	}
	listings := make([]lister.Listing, 0, len(message.GetListings()))
	for _, wire := range message.GetListings() {
		listing, err := lister.FromWire(wire, now)
		if err != nil {
			return nil, err
		}
		listings = append(listings, listing)
	}
	return listings, nil
}

// ReadCrashes returns what was known of crashes when the copy was written. A copy from the future, by a wall
// clock that has been set back, counts as written now. Its errors are recorder.ErrDamaged and, if there is
// no copy, fs.ErrNotExist.
func ReadCrashes(files recorder.FileSystem, now time.Time) (localizer.Report, error) {
	message := &messenger.FollowRequest{}
	written, err := read(files, crashesName, message)
	if err != nil {
		return localizer.Report{}, err
	}
	if written.After(now) {
		written = now
	}
	return localizer.ReportFrom(message, written), nil
}

// read reads a copy into a message, and returns when it was written.
func read(files recorder.FileSystem, name string, message proto.Message) (time.Time, error) {
	body, err := recorder.ReadChecked(files, name)
	if err != nil {
		return time.Time{}, err
	}
	if len(body) < timestampSize {
		return time.Time{}, merry.Errorf("%w: file %s holds %d bytes", recorder.ErrDamaged, name, len(body))
	}
	if err := proto.Unmarshal(body[timestampSize:], message); err != nil {
		return time.Time{}, merry.Errorf("%w: file %s: %v", recorder.ErrDamaged, name, err)
	}
	return time.UnixMilli(int64(binary.LittleEndian.Uint64(body))), nil
}
