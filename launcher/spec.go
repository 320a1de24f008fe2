package launcher

import (
	"fmt"
	"strings"

	"filberthaven.example/authenticator"
	"filberthaven.example/configurer"
	"filberthaven.example/examples"
	"filberthaven.example/loader"
)

// The demo fleet: names in its declarations, the size of its workers and its limit.
const (
	demoTeam     = "demo"
	demoService  = "echo"
	demoCPU      = 16_000   // thousandths of a processor
	demoMemory   = 64 << 10 // MiB
	demoLimit    = "96"     // processors
	demoTemplate = `[team "demo"]
share = 1
limit = %s

[queue "default"]

[service "echo"]
centres = %s
`
)

// fleetSpec specifies a fleet to start.
type fleetSpec struct {
	example   string // name; empty for the demo declarations
	centres   []string
	entries   int           // in a data centre; 0 if they run in other processes
	workers   int           // in a data centre
	executors int           // in a data centre
	cpu       int64         // of a worker, in thousandths of a processor
	memory    int64         // of a worker, in MiB
	team      string        // team that gets a key
	limit     string        // of the demo team, in processors or "none"
	service   string        // service that all executors offer
	files     []loader.File // the declarations without keys; set by load
}

// demoSpec returns the specification of the demo fleet.
func demoSpec() fleetSpec {
	return fleetSpec{
		centres: []string{"alfa", "bravo", "carso"},
		entries: DefaultEntries, workers: DefaultWorkers, executors: DefaultExecutors,
		cpu: demoCPU, memory: demoMemory, team: demoTeam, limit: demoLimit, service: demoService,
	}
}

// load reads the declarations and sizes of the example, or generates the declarations of
// the demo.
func (s *fleetSpec) load() error {
	if s.example == "" {
		text := fmt.Sprintf(demoTemplate, s.limit, strings.Join(s.centres, ", "))
		for _, centre := range s.centres {
			text += fmt.Sprintf("\n[centre %q]\n", centre)
		}
		s.files = []loader.File{loader.NewFile("demo.ini", []byte(text))}
		return nil
	}
	folder, err := examples.Declarations(s.example)
	if err != nil {
		return err
	}
	if s.files, err = loader.ReadFolder(folder); err != nil {
		return err
	}
	document, err := configurer.ParseFolder(folder)
	if err != nil {
		return err
	}
	return s.applyExample(document)
}

// applyExample takes the data centres, the first service and the first team from the
// example's declarations, and the sizes from the example.
func (s *fleetSpec) applyExample(document *configurer.Document) error {
	sizes, err := examples.SizesOf(s.example)
	if err != nil {
		return err
	}
	s.centres = nil
	for centre := range document.Centres() {
		s.centres = append(s.centres, centre.Name())
	}
	for service := range document.Services() {
		s.service = service.Name()
		break
	}
	for team := range document.Teams() {
		s.team = team.Name()
		break
	}
	n := len(s.centres)
	s.entries, s.workers, s.executors = (sizes.Entries()+n-1)/n, (sizes.Workers()+n-1)/n, (sizes.Executors()+n-1)/n
	s.cpu, s.memory = sizes.CPU(), sizes.Memory()
	return nil
}

// declarations returns the declarations with generated keys of an operator and a team,
// and the secrets of these keys.
func (s *fleetSpec) declarations() ([]loader.File, Keys) {
	operator, operatorSecret := authenticator.Generate("", authenticator.OperatorRole)
	team, teamSecret := authenticator.Generate(s.team, authenticator.TeamRole)
	text := fmt.Sprintf("[key %q]\nhash = %s\nrole = operator\nnote = first operator\n\n[key %q]\nhash = %s\nteam = %s\nnote = first team\n",
		operator.ID(), operator.Hash(), team.ID(), team.Hash(), s.team)
	files := append([]loader.File{loader.NewFile("keys.ini", []byte(text))}, s.files...)
	return files, Keys{operator: operatorSecret, team: teamSecret, teamID: team.ID()}
}
