package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines of a fleet, as on the platform.
const (
	portInternal = 7400 // keepers' own calls
	portControl  = 8785 // the operator and workers
	portFront    = 8783 // clients
	portReady    = 8780
	portMetrics  = 9464
)

// Networks of a fleet: the third number of an address.
const (
	netKeeper = 1
	netProxy  = 2 // keepers as the router behind the proxies sees them
	netRouter = 3
	netWorker = 4
)

// heartbeat is the interval of workers' heartbeats.
const heartbeat = 1200 * time.Millisecond

var zones = []string{"trento-a", "verona-b", "bolzano-c"}

// fleet holds the processes of a case. Its addresses are 127.OCTET.NETWORK.NUMBER.
type fleet struct {
	*recorder
	octet  int
	folder string

	mutex     sync.Mutex
	processes map[string]*process
	closing   bool
}

// process is a program of the project under the command of the deploy file.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// newFleet finds addresses whose ports are free and creates a temporary folder.
func newFleet(r *recorder) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	for range 50 {
		octet := 100 + rand.IntN(100)
		if portsAreFree(octet) {
			return &fleet{recorder: r, octet: octet, folder: folder, processes: make(map[string]*process)}, nil
		}
	}
	return nil, errors.New("no free ports on loopback addresses")
}

// portsAreFree reports whether the ports of a fleet can be bound.
func portsAreFree(octet int) bool {
	for network, ports := range map[int][]int{
		netKeeper: {portInternal, portControl, portMetrics}, netProxy: {portInternal},
		netRouter: {portFront, portReady, portMetrics},
	} {
		for number := 1; number <= 3; number++ {
			for _, port := range ports {
				l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", octet, network, number, port))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

// address returns an address of the fleet.
func (f *fleet) address(network, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.octet, network, number, port)
}

// addresses returns the addresses of the first three machines of a network.
func (f *fleet) addresses(network, port int) []string {
	var all []string
	for number := 1; number <= 3; number++ {
		all = append(all, f.address(network, number, port))
	}
	return all
}

// zoneOf returns the zone of a machine.
func zoneOf(number int) string {
	return zones[(number-1)%len(zones)]
}

// writeSettings writes the settings of a process, with the keys of the templates in deploy/.
func (f *fleet) writeSettings(name string, settings any) (string, error) {
	text, err := json.Marshal(settings)
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.folder, name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// startKeeper starts the keeper with a number, as deploy/keeper.json says. Bootstrap is set at the first start only.
func (f *fleet) startKeeper(number int, bootstrap bool) error {
	name := "core-" + zoneOf(number) + "-1"
	regions := make(map[string]string)
	for _, zone := range zones {
		regions[zone] = "italia-nord"
	}
	path, err := f.writeSettings(name, map[string]any{
		"name": name, "zone": zoneOf(number), "listen": f.address(netKeeper, number, portMetrics),
		"control": f.address(netKeeper, number, portInternal), "data": filepath.Join(f.folder, "data-"+strconv.Itoa(number)),
		"seeds": f.addresses(netKeeper, portControl), "bootstrap": bootstrap, "secret": "shallotkeel", "memory": 280,
		"platform": map[string]any{
			"listen": f.address(netKeeper, number, portControl), "heartbeat": heartbeat.String(), "zones": regions, "cold": map[string]any{},
		},
		"timing": map[string]string{"heartbeat": "100ms", "election": "500ms"},
	})
	if err != nil {
		return err
	}
	return f.start(name, "target/keeper", path)
}

// startRouter starts the router with a number, as deploy/router.json says. Seeds is the network in which it is told
// to look for keepers.
func (f *fleet) startRouter(number, seeds int) error {
	name := fmt.Sprintf("front-%s-%d", zoneOf(number), 1+(number-1)/len(zones))
	path, err := f.writeSettings(name, map[string]any{"platform": map[string]any{
		"name": name, "zone": zoneOf(number), "listen": f.address(netRouter, number, portFront),
		"ready": f.address(netRouter, number, portReady), "metrics": f.address(netRouter, number, portMetrics),
		"seeds": f.addresses(seeds, portControl), "port": portInternal, "secret": "shallotkeel",
		"memory": 284, "processors": 0.4, "descriptors": 4100, "pass": "120ms", "grace": "8s",
		"retry": map[string]any{"ratio": 0.2, "slack": 56, "window": "10s"},
	}})
	if err != nil {
		return err
	}
	return f.start(name, "target/router", path)
}

// start starts a program with the command of the deploy file. Its log goes to the temporary folder.
func (f *fleet) start(name, program, settings string) error {
	log, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program, "--settings", settings)
	command.Stdout, command.Stderr = log, log
	p := &process{command: command, ended: make(chan struct{})}
	if err := f.startUnlessClosing(name, p); err != nil {
		_ = log.Close()
		return err
	}
	f.notef("%s started", name)
	go func() {
		err := command.Wait()
		close(p.ended)
		_ = log.Close()
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if !f.closing {
			f.notef("%s ended: %v", name, err)
		}
	}()
	return nil
}

// startUnlessClosing starts a process and registers it, so that close ends each process that was started.
func (f *fleet) startUnlessClosing(name string, p *process) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closing {
		return errors.New("the fleet is closing")
	}
	if err := p.command.Start(); err != nil {
		return err
	}
	f.processes[name] = p
	return nil
}

// closeOnInterrupt ends all processes and the program when the program is interrupted.
func (f *fleet) closeOnInterrupt() {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-interrupts
		f.notef("interrupted")
		f.close()
		os.Exit(statusFailed)
	}()
}

// signal sends a signal to a process and, after SIGKILL, waits for its end.
func (f *fleet) signal(name string, signal syscall.Signal) {
	f.mutex.Lock()
	p := f.processes[name]
	f.mutex.Unlock()
	f.notef("%s gets signal %v", name, signal)
	_ = p.command.Process.Signal(signal)
	if signal == syscall.SIGKILL {
		<-p.ended
	}
}

// close ends all processes. The folder is kept if KEEP is set.
func (f *fleet) close() {
	f.mutex.Lock()
	f.closing = true
	processes := maps.Clone(f.processes)
	f.mutex.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.ended
	}
	if os.Getenv("KEEP") != "" {
		f.notef("the processes' logs are in the temporary folder")
		fmt.Println(f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}
