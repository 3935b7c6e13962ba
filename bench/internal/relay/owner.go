package relay

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// Indexes of the fields of a line of /proc/net/tcp, see proc(5).
const (
	fieldLocal  = 1
	fieldRemote = 2
	fieldInode  = 9
)

// Finder finds the process that owns one end of a loopback connection, among the
// processes that the bench started.
type Finder struct {
	// Processes returns the ids of the running processes by name.
	Processes func() map[string]int
}

// Owner returns the name of the process that holds the local end of a connection,
// and the empty name if none of the processes does, for example because the bench
// itself holds it. Both addresses are needed: Linux uses one local port for several
// connections to different remote addresses, and a cut that is applied to the wrong
// one of them cuts nothing.
func (f Finder) Owner(local, remote netip.AddrPort) string {
	inode := socketInode(local, remote)
	if inode == "" {
		return ""
	}
	socket := "socket:[" + inode + "]"
	for name, pid := range f.Processes() {
		if holdsSocket(pid, socket) {
			return name
		}
	}
	return ""
}

// holdsSocket reports whether a file descriptor of the process refers to the socket.
func holdsSocket(pid int, socket string) bool {
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

// socketInode returns the inode of the socket with these addresses, and the empty
// string if /proc/net/tcp does not list it.
func socketInode(local, remote netip.AddrPort) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	wantLocal, wantRemote := procAddress(local), procAddress(remote)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > fieldInode && fields[fieldLocal] == wantLocal && fields[fieldRemote] == wantRemote {
			return fields[fieldInode]
		}
	}
	return ""
}

// procAddress formats an IPv4 address as /proc/net/tcp does: the bytes of the
// address in reverse order, then the port, all in hexadecimal.
func procAddress(address netip.AddrPort) string {
	bytes := address.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", bytes[3], bytes[2], bytes[1], bytes[0], address.Port())
}
