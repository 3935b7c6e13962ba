package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/platform"
	"shallotkeel.example/platform/player"
)

// ErrFleet is the base of every error of a play that could not run.
var ErrFleet = merry.Sentinel("fleet cannot run")

const (
	heartbeatInterval = 600 * time.Millisecond
	drainTime         = 1500 * time.Millisecond
	graceTime         = 4 * time.Second
	restartDelay      = 300 * time.Millisecond
	contactTime       = 3 * time.Second // after which a machine counts as calm
	callTimeout       = time.Second
	settingsPath      = "/etc/shallotkeel/settings.json" // as the deploy file names it
	missesUntilOut    = 2
	firstSubnet       = 20
	lastSubnet        = 250
)

var zones = []string{"north-a", "north-b", "south-a"}

// machine runs one process, which is started again whenever it ends.
type machine struct {
	player.Machine
	role    string
	lock    sync.Mutex
	process *launcher.Process
	touched bool        // it was signalled since its last start
	held    atomic.Bool // it is not started again while this is set
	large   bool        // it was found to take more memory than it has
	shocks  []time.Time // when it was started, signalled or ended, and each second while it is frozen
	ends    []time.Time // when it ended
}

// fleet is the system under test, started as the deploy file says.
type fleet struct {
	root, programs, folder string
	record                 *record
	subnet                 int
	claimed                net.Listener // shows other plays that the subnet is taken
	keepers, routers       []*machine

	lock   sync.Mutex
	misses map[*machine]int
	own    []string // ends of processes that nobody caused
	group  sync.WaitGroup
}

// newFleet lays out keepers and routers over the zones.
func newFleet(o *options, folder string, log *record) (*fleet, error) {
	f := &fleet{root: o.Root, programs: o.Programs, folder: folder, record: log, misses: make(map[*machine]int)}
	if err := f.claim(); err != nil {
		return nil, err
	}
	for i := range o.Keepers {
		f.keepers = append(f.keepers, f.machine("keeper", i, 36+i))
	}
	for i := range o.Routers {
		f.routers = append(f.routers, f.machine("router", i, 60+i))
	}
	for _, m := range f.machines() {
		m.Zones, m.Seeds, m.Bootstrap = zones, f.controls(), true
	}
	return f, nil
}

// claim takes loopback addresses that no other play uses, until the play ends.
func (f *fleet) claim() error {
	for f.subnet = firstSubnet; f.subnet <= lastSubnet; f.subnet++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%s", f.subnet, player.PortControl))
		if err == nil {
			f.claimed = listener
			return nil
		}
	}
	return merry.Errorf("%w: no loopback addresses are free", ErrFleet)
}

func (f *fleet) machine(role string, number, host int) *machine {
	name := fmt.Sprintf("%s-%d", role, number+1)
	return &machine{role: role, Machine: player.Machine{
		Name: name, Zone: zones[number%len(zones)], Region: "loopback", Address: fmt.Sprintf("127.%d.1.%d", f.subnet, host),
		Data: filepath.Join(f.folder, name+".data"), Heartbeat: heartbeatInterval, Drain: drainTime, Grace: graceTime,
	}}
}

// machines returns all keepers and routers.
func (f *fleet) machines() []*machine { return slices.Concat(f.keepers, f.routers) }

// controls returns the addresses at which keepers take calls.
func (f *fleet) controls() []string {
	addresses := make([]string, 0, len(f.keepers))
	for _, m := range f.keepers {
		addresses = append(addresses, m.Address+":"+player.PortControl)
	}
	return addresses
}

// deployLine returns a value of the deploy file, of a role or, without one, of the whole.
func deployLine(root, role, key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return "", merry.Errorf("%w: %v; run it in the repository", ErrFleet, err)
	}
	section := string(text)
	if role != "" {
		_, section, _ = strings.Cut(section, "[roles."+role+"]")
	}
	section, _, _ = strings.Cut(section, "\n[")
	value := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindStringSubmatch(section)
	if value == nil {
		return "", merry.Errorf("%w: the deploy file has no %s %s", ErrFleet, role, key)
	}
	return value[1], nil
}

// start starts the process of a machine.
func (f *fleet) start(m *machine) error {
	template, err := deployLine(f.root, m.role, "template")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(f.root, template))
	if err != nil {
		return err
	}
	settings, err := player.Render(string(text), m.Fields())
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, m.Name+".json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	line, err := deployLine(f.root, m.role, "run")
	if err != nil {
		return err
	}
	words := strings.Fields(strings.ReplaceAll(line, settingsPath, path))
	command := exec.Command(filepath.Join(f.programs, filepath.Base(words[0])), words[1:]...)
	command.Dir = f.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "SHALLOTKEEL_SETTINGS=" + path}
	process, err := launcher.Spawn(f.folder, m.Name, command)
	if err != nil {
		return err
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.process, m.touched, m.Bootstrap = process, false, false
	m.shocks = append(m.shocks, time.Now())
	f.record.add("platform starts %s", m.Name)
	return nil
}

// run starts a machine, and starts it again whenever it ends, until the context does.
func (f *fleet) run(ctx context.Context, m *machine) error {
	if err := f.start(m); err != nil {
		return err
	}
	f.group.Go(func() {
		for {
			select {
			case <-ctx.Done():
				m.process.End(graceTime)
				return
			case <-m.process.Ended():
			}
			f.noteEnd(m)
			time.Sleep(restartDelay)
			for m.held.Load() && ctx.Err() == nil {
				time.Sleep(restartDelay / 10)
			}
			if ctx.Err() != nil {
				return
			}
			if err := f.start(m); err != nil {
				f.record.add("%s cannot start: %v", m.Name, err)
				return
			}
		}
	})
	return nil
}

func (f *fleet) noteEnd(m *machine) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.ends = append(m.ends, time.Now())
	m.shocks = append(m.shocks, time.Now())
	f.record.add("%s has ended", m.Name)
	if !m.touched {
		f.lock.Lock()
		defer f.lock.Unlock()
		f.own = append(f.own, fmt.Sprintf("%s ended by itself with status %d", m.Name, m.process.Status()))
	}
}

// act sends signals to the process of a machine.
func (f *fleet) act(m *machine, what string, act func(*launcher.Process)) {
	m.lock.Lock()
	defer m.lock.Unlock()
	f.record.add("platform: %s %s", what, m.Name)
	m.touched = true
	act(m.process)
	m.shocks = append(m.shocks, time.Now())
}

// endedSince reports whether the process of a machine ended after a time.
func (m *machine) endedSince(since time.Time) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return len(m.ends) > 0 && m.ends[len(m.ends)-1].After(since) || !m.process.Running()
}

// shock notes that something is being done to a machine.
func (m *machine) shock() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.shocks = append(m.shocks, time.Now())
}

// calm reports whether nothing was done to a machine for contactTime before a time.
func (m *machine) calm(at time.Time) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return !slices.ContainsFunc(m.shocks, func(shock time.Time) bool {
		return shock.After(at.Add(-contactTime)) && shock.Before(at)
	})
}

// inTouch reports whether a router, and a majority of the keepers, were calm before a time.
func (f *fleet) inTouch(router string, at time.Time) bool {
	calm := 0
	for _, m := range f.keepers {
		if m.calm(at) {
			calm++
		}
	}
	i := slices.IndexFunc(f.routers, func(m *machine) bool { return m.Name == router })
	return 2*calm > len(f.keepers) && i >= 0 && f.routers[i].calm(at)
}

// watch asks each router every second whether it is ready, as the platform does.
func (f *fleet) watch(ctx context.Context) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, m := range f.machines() {
			f.weigh(m)
		}
		for _, m := range f.routers {
			go f.ask(client, m)
		}
		pause(ctx, time.Second)
	}
}

// weigh notes a process that takes more memory than its machine has.
func (f *fleet) weigh(m *machine) {
	m.lock.Lock()
	defer m.lock.Unlock()
	size, err := m.process.Memory()
	if err != nil || size <= player.MemoryMB<<20 || m.large {
		return // it has ended, or is as it should be
	}
	m.large = true
	f.lock.Lock()
	defer f.lock.Unlock()
	f.own = append(f.own, fmt.Sprintf("%s takes %d MB of memory, and has %d", m.Name, size>>20, player.MemoryMB))
}

func (f *fleet) ask(client *http.Client, m *machine) {
	response, err := client.Get("http://" + m.Address + ":" + player.PortReady + platform.PathReady)
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if ready {
		f.misses[m] = 0
	} else {
		f.misses[m]++
	}
}

// front returns the router to which the platform forwards a new connection of a client.
func (f *fleet) front(client int) *machine {
	f.lock.Lock()
	defer f.lock.Unlock()
	var rotation []*machine
	for _, m := range f.routers {
		if f.misses[m] < missesUntilOut {
			rotation = append(rotation, m)
		}
	}
	if 2*len(rotation) < len(f.routers) {
		rotation = f.routers
	}
	return rotation[client%len(rotation)]
}

// submit sends the configuration to one keeper after the other until one acknowledges it.
func (f *fleet) submit(ctx context.Context, config player.Config) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: callTimeout}
	for ctx.Err() == nil {
		for _, address := range f.controls() {
			request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+platform.PathConfig, bytes.NewReader(text))
			if err != nil {
				return err
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			answer, _ := io.ReadAll(response.Body) // only told to the reader of the record
			response.Body.Close()
			f.record.add("operator: %s answers %d %s", address, response.StatusCode, answer)
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		pause(ctx, 200*time.Millisecond)
	}
	return merry.Errorf("%w: no keeper acknowledged the configuration", ErrFleet)
}

// pause waits for a time, or until the context ends.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
