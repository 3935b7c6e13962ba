package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/bench/internal/relay"
)

// silenceTimeout is the time without an answer after which a connection counts as cut.
const silenceTimeout = 150 * time.Millisecond

// startEchoServer starts a server that sends back all bytes that it receives, and
// returns its address.
func startEchoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// connect returns a connection through a relay to process "b", an echo server.
func connect(t *testing.T, network *relay.Network) *net.TCPConn {
	t.Helper()
	address, err := network.Listen(netip.MustParseAddrPort("127.0.0.1:0"), "b", startEchoServer(t))
	require.NoError(t, err)
	conn, err := net.Dial("tcp", address.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// echoes sends a line and reports whether it comes back within silenceTimeout.
func echoes(t *testing.T, conn *net.TCPConn, reader *bufio.Reader, line string) bool {
	t.Helper()
	_, err := io.WriteString(conn, line+"\n")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(silenceTimeout)))
	got, err := reader.ReadString('\n')
	if err != nil {
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		return false
	}
	require.Equal(t, line+"\n", got)
	return true
}

func TestCut(t *testing.T) {
	tests := map[string]struct {
		cut       []relay.Link
		delivered bool
	}{
		"nothing":                 {delivered: true},
		"requests":                {cut: []relay.Link{{From: "a", To: "b"}}},
		"answers":                 {cut: []relay.Link{{From: "b", To: "a"}}},
		"another process's links": {cut: []relay.Link{{From: "c", To: "b"}, {From: "b", To: "c"}}, delivered: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			network := &relay.Network{Owner: func(_, _ netip.AddrPort) string { return "a" }}
			defer network.Close()
			conn := connect(t, network)
			reader := bufio.NewReader(conn)
			require.True(t, echoes(t, conn, reader, "before"))
			network.Cut(test.cut...)
			require.Equal(t, test.delivered, echoes(t, conn, reader, "during"))
			network.Heal()
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			if !test.delivered {
				got, err := reader.ReadString('\n')
				require.NoError(t, err)
				require.Equal(t, "during\n", got, "a cut holds bytes back and loses none")
			}
			require.True(t, echoes(t, conn, reader, "after"))
		})
	}
}

func TestNewConnectionStaysSilentWhileCut(t *testing.T) {
	network := &relay.Network{Owner: func(_, _ netip.AddrPort) string { return "a" }}
	defer network.Close()
	network.Cut(relay.Link{From: "a", To: "b"})
	conn := connect(t, network)
	require.False(t, echoes(t, conn, bufio.NewReader(conn), "hello"))
}

// If the process behind the relay is killed, its connections must end with a reset:
// the client could mistake a regular end for the end of an answer.
func TestBrokenConnectionIsReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	network := &relay.Network{Owner: func(_, _ netip.AddrPort) string { return "a" }}
	defer network.Close()
	address, err := network.Listen(netip.MustParseAddrPort("127.0.0.1:0"), "b", netip.MustParseAddrPort(listener.Addr().String()))
	require.NoError(t, err)
	conn, err := net.Dial("tcp", address.String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "x")
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	require.Error(t, err)
}

// Linux uses one local port for connections to different remote addresses when many
// processes connect. A finder that ignores the remote address confuses these
// connections, so that a cut cuts nothing and its cell passes all the same.
func TestFinderDistinguishesConnectionsOfOneLocalPort(t *testing.T) {
	first, second := dialFrom(t, 0)
	own := netip.MustParseAddrPort(first.LocalAddr().String())
	third, fourth := dialFrom(t, int(own.Port()))
	require.Equal(t, own.Port(), netip.MustParseAddrPort(third.LocalAddr().String()).Port())
	me := relay.Finder{Processes: func() map[string]int { return map[string]int{"me": os.Getpid()} }}
	for _, conn := range []net.Conn{first, second, third, fourth} {
		local, remote := netip.MustParseAddrPort(conn.LocalAddr().String()), netip.MustParseAddrPort(conn.RemoteAddr().String())
		require.Equal(t, "me", me.Owner(local, remote))
	}
	require.NoError(t, third.Close())
	remote := netip.MustParseAddrPort(third.RemoteAddr().String())
	require.Empty(t, me.Owner(own, remote), "the other connection of that port is not this one")
	require.Equal(t, "me", me.Owner(own, netip.MustParseAddrPort(first.RemoteAddr().String())))
	nobody := relay.Finder{Processes: func() map[string]int { return nil }}
	require.Empty(t, nobody.Owner(own, netip.MustParseAddrPort(first.RemoteAddr().String())))
}

// dialFrom returns both ends of a connection from a local port, or from any free one
// if port is 0, to a new listener.
func dialFrom(t *testing.T, port int) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	reuse := func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		})
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}, Control: reuse}
	near, err = dialer.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	far, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}
