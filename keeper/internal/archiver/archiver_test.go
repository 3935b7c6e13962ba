package archiver

import (
	"io/fs"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/recorder"
)

var now = time.UnixMilli(1_000_000)

// listings returns a complete listing and one with few fields.
func listings() []lister.Listing {
	return []lister.Listing{
		{
			ID: "a", Service: "desk", Zone: "hall", Address: netip.MustParseAddrPort("10.0.0.9:80"), Slots: 6,
			Started: time.UnixMilli(900_000), Sequence: 7, State: lister.Ready,
		},
		{ID: "b", State: lister.Gone},
	}
}

// Guards against a copy that loses fields or is used when it is stale.
func TestCopyRoundTrip(t *testing.T) {
	files := recorder.NewMemory()
	_, err := Read(files, now)
	require.ErrorIs(t, err, fs.ErrNotExist)
	require.NoError(t, Write(files, now, nil))
	require.NoError(t, Write(files, now, listings()))
	read, err := Read(files, now.Add(MaxAge))
	require.NoError(t, err)
	require.Equal(t, listings(), read)
	for _, at := range []time.Time{now.Add(MaxAge + time.Millisecond), now.Add(-MaxAge - time.Millisecond)} {
		_, err = Read(files, at)
		require.ErrorIs(t, err, ErrStale)
	}
}

// Guards against a keeper that fails to start, or lists endpoints that never existed, because bytes
// of the copy have changed on the disk.
func TestDamagedCopyIsRejected(t *testing.T) {
	intact := recorder.NewMemory()
	require.NoError(t, Write(intact, now, listings()))
	data, err := intact.Read(fileName)
	require.NoError(t, err)
	for at := range data {
		files := recorder.NewMemory()
		file, err := files.Create(fileName)
		require.NoError(t, err)
		changed := append([]byte(nil), data...)
		changed[at] ^= 0x10
		_, err = file.Write(changed)
		require.NoError(t, err)
		_, err = Read(files, now)
		require.ErrorIs(t, err, recorder.ErrDamaged, "byte %d", at)
	}
}

// Guards against crashes that a restart makes older or younger than they are, or that a clock which was set
// back makes unusable.
func TestCrashesKeepTheirAge(t *testing.T) {
	evidence := localizer.Report{
		Crashes: []localizer.Crash{{Lifetime: 5, Service: 1, At: now.Add(-time.Minute), Features: []localizer.Feature{2, 3}}},
		Answers: []localizer.Answer{{Feature: 2, At: now.Add(-time.Hour)}},
	}
	tests := map[string]struct {
		readAt, written time.Time
	}{
		"at once":                {now, now},
		"after a long time":      {now.Add(8 * time.Minute), now},
		"the clock was set back": {now.Add(-5 * time.Second), now.Add(-5 * time.Second)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			files := recorder.NewMemory()
			_, err := ReadCrashes(files, now)
			require.ErrorIs(t, err, fs.ErrNotExist)
			require.NoError(t, WriteCrashes(files, now, localizer.Report{}))
			require.NoError(t, WriteCrashes(files, now, evidence))
			read, err := ReadCrashes(files, test.readAt)
			require.NoError(t, err)
			require.Equal(t, evidence.Crashes[0].Features, read.Crashes[0].Features)
			require.True(t, test.written.Add(-time.Minute).Equal(read.Crashes[0].At))
			require.True(t, test.written.Add(-time.Hour).Equal(read.Answers[0].At))
		})
	}
	files := recorder.NewMemory()
	file, err := files.Create(crashesName)
	require.NoError(t, err)
	_, err = file.Write([]byte("no copy"))
	require.NoError(t, err)
	_, err = ReadCrashes(files, now)
	require.ErrorIs(t, err, recorder.ErrDamaged)
}
