package relay

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// Fields of a line of /proc/net/tcp, see proc(5).
const (
	fieldLocal  = 1
	fieldRemote = 2
	fieldInode  = 9
)

// Finder finds the process that owns one end of a loopback connection, among
// processes that the bench started itself.
type Finder struct {
	// Processes returns the running processes' ids by name.
	Processes func() map[string]int
}

// Owner returns the name of the process that holds the local end of a
// connection, and the empty name if it is none of them, such as the bench
// itself. Both ends are needed: Linux gives one local port to several
// connections that lead to different places, and the wrong one of them would
// make a cut that cuts nothing.
func (f Finder) Owner(local, remote netip.AddrPort) string {
	inode := inodeOf(local, remote)
	if inode == "" {
		return ""
	}
	want := "socket:[" + inode + "]"
	for name, pid := range f.Processes() {
		if holds(pid, want) {
			return name
		}
	}
	return ""
}

func holds(pid int, socket string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if link, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil && link == socket {
			return true
		}
	}
	return false
}

// inodeOf looks the socket up that has these ends.
func inodeOf(local, remote netip.AddrPort) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	wantLocal, wantRemote := hexadecimal(local), hexadecimal(remote)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > fieldInode && fields[fieldLocal] == wantLocal && fields[fieldRemote] == wantRemote {
			return fields[fieldInode]
		}
	}
	return ""
}

// hexadecimal writes an IPv4 address as /proc/net/tcp does: the address's
// bytes in reverse, then the port.
func hexadecimal(address netip.AddrPort) string {
	bytes := address.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", bytes[3], bytes[2], bytes[1], bytes[0], address.Port())
}
