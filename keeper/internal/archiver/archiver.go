// Package archiver keeps a copy of the list of endpoints on a keeper's disk.
//
// The list is soft: endpoints tell it again within an interval of their heartbeats. After a
// loss of all power that interval is what routers wait for: they have a configuration and
// are asked, and know of no endpoint, or of the few that happened to tell first, which then
// get all the work. With the copy they begin with the list of before.
//
// Invariants: what a copy tells is only ever as good as a late heartbeat, so that whatever
// is heard after it wins; a copy that is old, damaged or missing is as none.
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
	// name is the file's in the data folder.
	name = "endpoints"
	// MaxAge is how old a copy may be, by the time of day. Endpoints of an older one have
	// been taken for lost by every keeper that went on.
	MaxAge = 30 * time.Second
	// stampSize is that of the time at the start of the file, in Unix milliseconds.
	stampSize = 8
)

// ErrOld means that a copy is too old to be used.
var ErrOld = merry.Sentinel("the copy of the endpoints is too old")

// Write replaces the copy.
func Write(files recorder.FileSystem, now time.Time, listings []lister.Listing) error {
	message := &messenger.FollowResponse{}
	for _, listing := range listings {
		message.Listings = append(message.Listings, lister.ToWire(listing, now))
	}
	body := binary.LittleEndian.AppendUint64(nil, uint64(now.UnixMilli()))
	body, err := proto.MarshalOptions{}.MarshalAppend(body, message)
	if err != nil {
		return merry.Wrap(err)
	}
	return recorder.WriteWhole(files, name, body)
}

// Read returns the copy. Its errors are ErrOld, recorder.ErrDamaged, lister.ErrWire and, if
// there is none, fs.ErrNotExist.
func Read(files recorder.FileSystem, now time.Time) ([]lister.Listing, error) {
	body, err := recorder.ReadWhole(files, name)
	if err != nil {
		return nil, err
	}
	if len(body) < stampSize {
		return nil, merry.Errorf("%w: file %s holds %d bytes", recorder.ErrDamaged, name, len(body))
	}
	written := time.UnixMilli(int64(binary.LittleEndian.Uint64(body)))
	if age := now.Sub(written); age > MaxAge || age < -MaxAge {
		return nil, merry.Errorf("%w: it was written at %s", ErrOld, written.UTC().Format(time.RFC3339))
	}
	message := &messenger.FollowResponse{}
	if err := proto.Unmarshal(body[stampSize:], message); err != nil {
		return nil, merry.Errorf("%w: file %s: %v", recorder.ErrDamaged, name, err)
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
