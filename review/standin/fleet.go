package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the deployment sites/scambio-nord, from the sheet in SYSTEM.md.
const (
	contactTime = 3000 * time.Millisecond
	drainTime   = 2000 * time.Millisecond
	graceTime   = 8 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

const (
	portFront    = 8783
	portReady    = 8780
	portControl  = 8785
	portInternal = 7400
	portMetrics  = 9464
)

var zones = []string{"trento-a", "verona-b", "bolzano-c"}

// machine is one machine of the deployment: an address of its own and one process.
type machine struct {
	name, role, zone, address string
	settings, data, output    string
	command                   *exec.Cmd
	ended                     chan struct{}
	started                   time.Time
}

// fleet is the system under test: its processes, started with the commands of the deploy file.
type fleet struct {
	root   string // repository
	folder string // temporary
	record *record
	subnet int

	mutex     sync.Mutex
	keepers   []*machine
	routers   []*machine
	bootstrap bool
	ready     map[*machine]bool
	misses    map[*machine]int
}

// newFleet lays out keepers, one in each zone, and routers, spread over the zones.
func newFleet(root string, routers int, log *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, folder: folder, record: log, bootstrap: true, ready: make(map[*machine]bool), misses: make(map[*machine]int)}
	for range 50 {
		f.subnet = 10 + rand.IntN(240)
		if f.isFree() {
			break
		}
	}
	for i, zone := range zones {
		f.keepers = append(f.keepers, f.newMachine("core-"+zone+"-1", "keeper", zone, fmt.Sprintf("127.%d.%d.36", f.subnet, i+1)))
	}
	for i := range routers {
		zone := zones[i%len(zones)]
		f.routers = append(f.routers, f.newMachine(fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), "router", zone, fmt.Sprintf("127.%d.%d.%d", f.subnet, 1+i%len(zones), 40+i)))
	}
	return f, nil
}

// isFree reports whether the ports of the first core machine are free.
func (f *fleet) isFree() bool {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.36:%d", f.subnet, portInternal))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

func (f *fleet) newMachine(name, role, zone, address string) *machine {
	return &machine{
		name: name, role: role, zone: zone, address: address,
		settings: filepath.Join(f.folder, name+".json"), data: filepath.Join(f.folder, name+".data"), output: filepath.Join(f.folder, name+".log"),
	}
}

func (f *fleet) controls() []string {
	var addresses []string
	for _, m := range f.keepers {
		addresses = append(addresses, fmt.Sprintf("%s:%d", m.address, portControl))
	}
	return addresses
}

// fields returns the settings fields that the platform fills in for a machine.
func (f *fleet) fields(m *machine) map[string]any {
	seeds := []any{}
	for _, address := range f.controls() {
		seeds = append(seeds, address)
	}
	listen := map[string]any{}
	limits := map[string]any{"cores": 1, "link_mbps": 1000.0}
	if m.role == "keeper" {
		listen["control"] = fmt.Sprintf("%s:%d", m.address, portControl)
		limits["cpu_share"], limits["memory_mb"], limits["max_fds"], limits["disk_mb"] = 0.48, 280, 4096, 128
	} else {
		listen["front"], listen["ready"] = fmt.Sprintf("%s:%d", m.address, portFront), fmt.Sprintf("%s:%d", m.address, portReady)
		limits["cpu_share"], limits["memory_mb"], limits["max_fds"], limits["disk_mb"] = 0.4, 284, 4100, 0
	}
	zoneRegions := map[string]any{}
	for _, zone := range zones {
		zoneRegions[zone] = "italia-nord"
	}
	return map[string]any{
		"node_name": m.name, "role": m.role, "zone": m.zone, "region": "italia-nord", "ip": m.address, "zones": zoneRegions,
		"listen": listen, "internal_ports": []any{portInternal, portInternal + 15}, "seeds": seeds, "bootstrap": f.bootstrap,
		"limits": limits, "data_dir": m.data, "heartbeat_ms": int(heartbeat / time.Millisecond),
		"bounds": map[string]any{
			"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56, "pass_ms": 120,
		},
	}
}

// roleLine returns a value of a role in the deploy file.
func (f *fleet) roleLine(role, key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy/system.toml"))
	if err != nil {
		return "", err
	}
	_, section, found := strings.Cut(string(text), "[roles."+role+"]")
	if !found {
		return "", fmt.Errorf("the deploy file has no role %s", role)
	}
	section, _, _ = strings.Cut(section, "\n[")
	value := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindStringSubmatch(section)
	if value == nil {
		return "", fmt.Errorf("role %s has no %s", role, key)
	}
	return value[1], nil
}

// start writes the settings of a machine and starts its process.
func (f *fleet) start(m *machine) error {
	template, err := f.roleLine(m.role, "template")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(f.root, template))
	if err != nil {
		return err
	}
	settings, err := render(string(text), f.fields(m))
	if err != nil {
		return err
	}
	if err := os.WriteFile(m.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	run, err := f.roleLine(m.role, "run")
	if err != nil {
		return err
	}
	words := strings.Fields(strings.ReplaceAll(run, "/etc/shallotkeel/settings.json", m.settings))
	output, err := os.OpenFile(m.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(filepath.Join(f.root, words[0]), words[1:]...)
	command.Dir, command.Stdout, command.Stderr = f.root, output, output
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "SHALLOTKEEL_SETTINGS=" + m.settings}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.command, m.ended, m.started = command, ended, time.Now()
	go func() {
		_ = command.Wait() // the end of the process is all that is needed
		close(ended)
	}()
	f.record.add("platform starts the process of %s", m.name)
	return nil
}

// startAll starts machines within a moment of one another.
func (f *fleet) startAll(machines ...*machine) error {
	for _, m := range machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a machine.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.record.add("platform sends %v to %s", s, m.name)
	if err := m.command.Process.Signal(s); err != nil {
		f.record.add("signal to %s failed: %v", m.name, err)
	}
}

// stop stops a process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (f *fleet) stop(m *machine) {
	f.signal(m, syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(graceTime):
		f.signal(m, syscall.SIGKILL)
		<-m.ended
	}
}

func (f *fleet) all() []*machine {
	return append(append([]*machine(nil), f.keepers...), f.routers...)
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, m := range f.all() {
		if m.command != nil {
			_ = m.command.Process.Kill() // it may have ended
			<-m.ended
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are kept in", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// watchReady asks all routers each second whether they are ready, as the platform does, until the
// context ends. Two misses take a router out of the rotation.
func (f *fleet) watchReady(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, m := range f.routers {
			go func() {
				ok := false
				if response, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", m.address, portReady)); err == nil {
					ok = response.StatusCode == http.StatusOK
					response.Body.Close()
				}
				f.mutex.Lock()
				defer f.mutex.Unlock()
				if ok {
					f.ready[m], f.misses[m] = true, 0
				} else if f.misses[m]++; f.misses[m] >= 2 {
					f.ready[m] = false
				}
			}()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// route returns the address to which the platform forwards a new connection of a client: a router by
// a hash of the client, among those in the rotation.
func (f *fleet) route(client int) (*machine, string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var rotation []*machine
	for _, m := range f.routers {
		if f.ready[m] {
			rotation = append(rotation, m)
		}
	}
	if 2*len(rotation) < len(f.routers) {
		rotation = f.routers
	}
	m := rotation[client%len(rotation)]
	return m, fmt.Sprintf("%s:%d", m.address, portFront)
}

// submit sends a configuration to one keeper after the other until one acknowledges it.
func (f *fleet) submit(config map[string]any, patience time.Duration) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	last := errors.New("no attempt was made")
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, address := range f.controls() {
			request, err := http.NewRequest(http.MethodPut, "http://"+address+"/api/config", bytes.NewReader(text))
			if err != nil {
				return err
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			if err != nil {
				last = err
				continue
			}
			answer, _ := io.ReadAll(response.Body) // used in a message only
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				f.record.add("operator: %s acknowledges version %v", address, config["version"])
				return nil
			}
			last = fmt.Errorf("%d: %s", response.StatusCode, answer)
		}
	}
	return last
}

// leader returns the keeper whose metrics say that it leads, nil if none does.
func (f *fleet) leader() *machine {
	client := &http.Client{Timeout: time.Second}
	for _, m := range f.keepers {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", m.address, portMetrics))
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body) // a metric that is missing is no leader
		response.Body.Close()
		if bytes.Contains(text, []byte("\nkeeper_leader 1\n")) {
			return m
		}
	}
	return nil
}
