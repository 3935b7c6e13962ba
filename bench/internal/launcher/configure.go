package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/reporter"
)

// tokenSuffix is appended to a workspace's name to form its bearer token, as in the
// example deployments.
const tokenSuffix = "-token"

// Workspace is a workspace of an example deployment.
type Workspace struct {
	Name   string
	Token  string
	Weight float64 // value of its weight label; 1 if there is none
	Large  bool    // has the label size=large
}

// Deployment holds the objects that the files of an example describe.
type Deployment struct {
	Folder     string // of the files
	Objects    []describer.Object
	Workspaces []Workspace
	Models     []string // names of all models, sorted
	Model      string   // name of the service of type model
	Plain      string   // name of the service of type plain
}

// ReadDeployment reads the .jsonc files of a folder. A folder without such files is
// an error.
func ReadDeployment(folder string) (Deployment, error) {
	d := Deployment{Folder: folder}
	paths, err := filepath.Glob(filepath.Join(folder, "*.jsonc"))
	if err != nil || len(paths) == 0 {
		return d, merry.Errorf("%w: no .jsonc file in %s; start the bench in the repository's root", ErrFleet, folder)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return d, merry.Errorf("%w: %v", ErrFleet, err)
		}
		objects, err := describer.ParseDocument(path, text)
		if err != nil {
			return d, err
		}
		d.Objects = append(d.Objects, objects...)
	}
	for _, object := range d.Objects {
		d.add(object)
	}
	return d, nil
}

// add derives the workspaces, models and service names from an object.
func (d *Deployment) add(object describer.Object) {
	switch object.Kind {
	case describer.Workspace:
		weight, err := strconv.ParseFloat(object.Labels[describer.LabelWeight], 64)
		if err != nil {
			weight = 1
		}
		d.Workspaces = append(d.Workspaces, Workspace{
			Name: object.Name, Token: object.Name + tokenSuffix, Weight: weight, Large: object.Labels["size"] == "large",
		})
	case describer.Service:
		if object.Labels[describer.LabelType] == describer.TypePlain {
			d.Plain = object.Name
			return
		}
		d.Model = object.Name
		for label := range object.Labels {
			if model, found := strings.CutPrefix(label, describer.PrefixModel); found {
				d.Models = append(d.Models, model)
			}
		}
		slices.Sort(d.Models)
	}
}

// Apply applies files with skctl, as an operator would, and waits until they are
// in force on every router.
func (f *Fleet) Apply(ctx context.Context, files ...string) error {
	arguments := []string{"--token", OperatorToken, "--author", "bench"}
	for _, target := range f.Targets() {
		arguments = append(arguments, "--router", target)
	}
	arguments = append(append(arguments, "apply", "--wait"), files...)
	command := exec.CommandContext(ctx, filepath.Join(f.Plan.Programs, "skctl"), arguments...)
	output, err := command.CombinedOutput()
	if err != nil {
		return merry.Errorf("%w: skctl apply: %v: %s", ErrFleet, err, output)
	}
	return nil
}

// Change sends a change to one router and returns the HTTP status and the answer.
// A status of 0 means that there was no answer.
func (n *Node) Change(ctx context.Context, change describer.Change) (int, reporter.Applied, error) {
	var applied reporter.Applied
	text, err := json.Marshal(change)
	if err != nil {
		return 0, applied, merry.Errorf("%w: %v", ErrFleet, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.URL()+"/admin/changes", bytes.NewReader(text))
	if err != nil {
		return 0, applied, merry.Errorf("%w: %v", ErrFleet, err)
	}
	request.Header.Set("Authorization", "Bearer "+OperatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, applied, merry.Errorf("%w: %v", ErrFleet, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, applied, merry.Errorf("%w: %v", ErrFleet, err)
	}
	_ = json.Unmarshal(body, &applied) // the body of an error has another format; the status identifies it
	return response.StatusCode, applied, nil
}

// adminTimeout bounds one request of Admin, since a frozen router accepts
// connections but does not answer.
const adminTimeout = 2 * time.Second

// Admin sends a GET request for one of the router's /admin/ paths and decodes the
// JSON answer. Any status other than 200 is an error.
func (n *Node) Admin(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.URL()+path, nil)
	if err != nil {
		return merry.Errorf("%w: %v", ErrFleet, err)
	}
	request.Header.Set("Authorization", "Bearer "+OperatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Errorf("%w: %v", ErrFleet, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return merry.Errorf("%w: %s%s says %s", ErrFleet, n.Name, path, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return merry.Errorf("%w: %s%s: %v", ErrFleet, n.Name, path, err)
	}
	return nil
}

// AwaitEndpoints waits until every stand-in is listed by a router.
func (f *Fleet) AwaitEndpoints(ctx context.Context) error {
	for {
		missing := f.missingStandin(ctx)
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("%w: no router knows %s", ErrFleet, missing)
		case <-time.After(readyPollInterval):
		}
	}
}

// missingStandin returns the name of a stand-in that no router lists among its
// endpoints, and the empty name if there is none.
func (f *Fleet) missingStandin(ctx context.Context) string {
	listed := make(map[string]bool)
	for _, router := range f.Of(Router) {
		var status reporter.Status
		if router.Admin(ctx, "/admin/status", &status) != nil {
			continue
		}
		for _, endpoint := range status.Endpoints {
			listed[endpoint.ID] = true
		}
	}
	for _, standin := range f.Of(Standin) {
		if !listed[standin.Name] {
			return standin.Name
		}
	}
	return ""
}
