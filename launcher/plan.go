package launcher

import (
	"fmt"
	"strings"

	"filberthaven.example/authenticator"
	"filberthaven.example/configurer"
	"filberthaven.example/examples"
	"filberthaven.example/loader"
)

// Names in the declarations of a demo fleet, and the size of its workers.
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

// plan is what a fleet is started with.
type plan struct {
	example   string // empty: the demo declarations
	centres   []string
	entries   int    // in a data centre; 0: they are started elsewhere
	workers   int    // in a data centre
	executors int    // in a data centre
	cpu       int64  // of a worker, in thousandths of a processor
	memory    int64  // of a worker, in MiB
	team      string // whose key is made
	limit     string // of the demo team, in processors or "none"
	service   string // of all executors
	files     []loader.File
}

// demoPlan returns the plan of a fleet that shows the main job.
func demoPlan() plan {
	return plan{
		centres: []string{"alfa", "bravo", "carso"},
		entries: DefaultEntries, workers: DefaultWorkers, executors: DefaultExecutors,
		cpu: demoCPU, memory: demoMemory, team: demoTeam, limit: demoLimit, service: demoService,
	}
}

// load reads the example's declarations, or makes those of the demo.
func (p *plan) load() error {
	if p.example == "" {
		text := fmt.Sprintf(demoTemplate, p.limit, strings.Join(p.centres, ", "))
		for _, centre := range p.centres {
			text += fmt.Sprintf("\n[centre %q]\n", centre)
		}
		p.files = []loader.File{loader.NewFile("demo.ini", []byte(text))}
		return nil
	}
	folder, err := examples.Declarations(p.example)
	if err != nil {
		return err
	}
	if p.files, err = loader.ReadFolder(folder); err != nil {
		return err
	}
	document, err := configurer.ParseFolder(folder)
	if err != nil {
		return err
	}
	return p.follow(document)
}

// follow takes names and sizes from an example.
func (p *plan) follow(document *configurer.Document) error {
	sizes, err := examples.SizesOf(p.example)
	if err != nil {
		return err
	}
	p.centres = nil
	for centre := range document.Centres() {
		p.centres = append(p.centres, centre.Name())
	}
	for service := range document.Services() {
		p.service = service.Name()
		break
	}
	for team := range document.Teams() {
		p.team = team.Name()
		break
	}
	n := len(p.centres)
	p.entries, p.workers, p.executors = (sizes.Entries()+n-1)/n, (sizes.Workers()+n-1)/n, (sizes.Executors()+n-1)/n
	p.cpu, p.memory = sizes.CPU(), sizes.Memory()
	return nil
}

// declarations returns the declarations with the keys of an operator and a team, and
// the secrets of these.
func (p *plan) declarations() ([]loader.File, Keys) {
	operator, operatorText := authenticator.Generate("", authenticator.OperatorRole)
	team, teamText := authenticator.Generate(p.team, authenticator.TeamRole)
	text := fmt.Sprintf("[key %q]\nhash = %s\nrole = operator\nnote = first operator\n\n[key %q]\nhash = %s\nteam = %s\nnote = first team\n",
		operator.ID(), operator.Hash(), team.ID(), team.Hash(), p.team)
	files := append([]loader.File{loader.NewFile("keys.ini", []byte(text))}, p.files...)
	return files, Keys{operator: operatorText, team: teamText, teamID: team.ID()}
}
