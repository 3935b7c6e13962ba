// Package archiver keeps a copy of the list of endpoints on a keeper's disk.
//
// The list is soft state: heartbeats rebuild it within one heartbeat interval. After a power
// loss of the whole fleet, routers have a configuration and receive requests during that
// interval, but know no endpoints, or only the few whose heartbeats arrived first and which
// would get all the work. With the copy, routers start with the list from before the power loss.
//
// Invariants: the copy has the weight of a late heartbeat, so that any later heartbeat
// overrides it; a copy that is stale, damaged or missing is not used.
package archiver

import (
	"encoding/binary"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/recorder"
)

const (
	// fileName is the name of the copy's file in the data folder.
	fileName = "endpoints"
	// MaxAge is the maximum age of a usable copy, by the wall clock. Every keeper that kept
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
	message := &messenger.FollowResponse{Listings: lister.EncodableToWire(listings, now)}
	body := binary.LittleEndian.AppendUint64(nil, uint64(now.UnixMilli()))
	body, err := proto.MarshalOptions{}.MarshalAppend(body, message)
	if err != nil {
		return merry.Wrap(err)
	}
	return recorder.WriteAtomic(files, fileName, body)
}

// Read returns the listings of the copy. Its errors are ErrStale, recorder.ErrDamaged, lister.ErrWire
// and, if there is no copy, fs.ErrNotExist.
func Read(files recorder.FileSystem, now time.Time) ([]lister.Listing, error) {
	body, err := recorder.ReadChecked(files, fileName)
	if err != nil {
		return nil, err
	}
	if len(body) < timestampSize {
		return nil, merry.Errorf("%w: file %s holds %d bytes", recorder.ErrDamaged, fileName, len(body))
	}
	written := time.UnixMilli(int64(binary.LittleEndian.Uint64(body)))
	if age := now.Sub(written); age > MaxAge || age < -MaxAge {
		return nil, merry.Errorf("%w: written at %s", ErrStale, written.UTC().Format(time.RFC3339))
	}
	message := &messenger.FollowResponse{}
	if err := proto.Unmarshal(body[timestampSize:], message); err != nil {
		return nil, merry.Errorf("%w: file %s: %v", recorder.ErrDamaged, fileName, err)
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
