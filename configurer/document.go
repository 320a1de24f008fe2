package configurer

import (
	"io/fs"
	"iter"

	"filberthaven.example/loader"
	"github.com/samber/oops"
)

// Document holds all that operators declare. It is immutable.
type Document struct {
	bounds     bounds
	defaults   values
	centres    table[Centre]
	vms        table[VM]
	teams      table[Team]
	queues     table[Queue]
	services   table[Service]
	keys       table[Key]
	exceptions table[Exception]

	// byScope holds the exceptions of each scope, expired ones included.
	byScope map[scope][]Exception
	// unknown lists sections and keys that only a newer version of the program knows.
	// The rest of such a document is enforced, and this version never writes it, since
	// it would lose them.
	unknown loader.Errors
}

// Parse decodes and checks the declarations in the files. An error is a loader.Errors
// that holds all faults.
func Parse(files ...loader.File) (*Document, error) {
	decoder := loader.NewDecoder(files...)
	d := decode(decoder)
	if len(decoder.Errors()) == 0 {
		for _, fault := range d.check() {
			decoder.AddError(fault.kind, fault.name, fault.key, fault.err)
		}
	}
	if err := decoder.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// ParseFolder decodes and checks the declarations in the .ini files of the folder.
func ParseFolder(folder fs.FS) (*Document, error) {
	files, err := loader.ReadFolder(folder)
	if err != nil {
		return nil, oops.In("configurer").Wrapf(err, "declarations can't be read")
	}
	return Parse(files...)
}

// parseAccepted decodes a document that was checked when it was accepted, perhaps by a
// newer version of the program. Unknown sections and keys are not faults.
func parseAccepted(text []byte) (*Document, error) {
	decoder := loader.NewDecoder(loader.NewFile("document", text))
	d := decode(decoder)
	if faults := decoder.Errors(); len(faults) > 0 {
		return nil, faults
	}
	d.unknown = decoder.Unknown()
	return d, nil
}

// decode returns the document of all sections. The decoder collects the faults.
func decode(decoder *loader.Decoder) *Document {
	d := &Document{
		bounds:     decodeBounds(decoder.Section("bounds")),
		defaults:   decodeValues(decoder.Section("defaults"), valueKeyNames()...),
		centres:    decodeTable(decoder, "centre", decodeCentre),
		vms:        decodeTable(decoder, "vm", decodeVM),
		teams:      decodeTable(decoder, "team", decodeTeam),
		queues:     decodeTable(decoder, "queue", decodeQueue),
		services:   decodeTable(decoder, "service", decodeService),
		keys:       decodeTable(decoder, "key", decodeKey),
		exceptions: decodeTable(decoder, "exception", decodeException),
	}
	d.indexExceptions()
	return d
}

// DeclarationKeys returns all keys that declarations may hold, such as "[team] share",
// sorted by name.
func DeclarationKeys() []string {
	var blocks []loader.Block
	for _, kind := range []string{"centre", "vm", "team", "queue", "service", "key", "exception"} {
		blocks = append(blocks, loader.NewBlock(kind, "name"))
	}
	decoder := loader.NewDecoder(loader.NewFile("", loader.Encode(blocks)))
	decode(decoder)
	return decoder.KnownKeys()
}

func decodeTable[T any](decoder *loader.Decoder, kind string, decode func(*loader.Section) T) table[T] {
	entities := map[string]T{}
	for section := range decoder.Sections(kind) {
		entities[section.Name()] = decode(section)
	}
	return newTable(entities)
}

func (d *Document) indexExceptions() {
	d.byScope = map[scope][]Exception{}
	for e := range d.exceptions.all() {
		d.byScope[e.scope] = append(d.byScope[e.scope], e)
	}
}

// Text returns the document as INI. It is the same for equal documents.
func (d *Document) Text() []byte { return loader.Encode(d.blocks()) }

// blocks returns all sections in a fixed order.
func (d *Document) blocks() []loader.Block {
	blocks := []loader.Block{d.bounds.block(), loader.NewBlock("defaults", "", d.defaults.pairs()...)}
	blocks = appendBlocks(blocks, d.centres)
	blocks = appendBlocks(blocks, d.vms)
	blocks = appendBlocks(blocks, d.teams)
	blocks = appendBlocks(blocks, d.queues)
	blocks = appendBlocks(blocks, d.services)
	blocks = appendBlocks(blocks, d.keys)
	return appendBlocks(blocks, d.exceptions)
}

func appendBlocks[T interface{ block() loader.Block }](blocks []loader.Block, t table[T]) []loader.Block {
	for entity := range t.all() {
		blocks = append(blocks, entity.block())
	}
	return blocks
}

// Team returns the team of that name, and reports whether it is declared.
func (d *Document) Team(name string) (Team, bool) { return d.teams.get(name) }

// Teams yields the teams by name.
func (d *Document) Teams() iter.Seq[Team] { return d.teams.all() }

// Key returns the key of that id, and reports whether it is declared.
func (d *Document) Key(id string) (Key, bool) { return d.keys.get(id) }

// Keys yields the keys by id.
func (d *Document) Keys() iter.Seq[Key] { return d.keys.all() }

// Queue returns the queue of that name, and reports whether it is declared.
func (d *Document) Queue(name string) (Queue, bool) { return d.queues.get(name) }

// Queues yields the queues by name.
func (d *Document) Queues() iter.Seq[Queue] { return d.queues.all() }

// Service returns the service of that name, and reports whether it is declared.
func (d *Document) Service(name string) (Service, bool) { return d.services.get(name) }

// Services yields the services by name.
func (d *Document) Services() iter.Seq[Service] { return d.services.all() }

// Centre returns the data centre of that name, and reports whether it is declared.
func (d *Document) Centre(name string) (Centre, bool) { return d.centres.get(name) }

// Centres yields the data centres by name.
func (d *Document) Centres() iter.Seq[Centre] { return d.centres.all() }

// VM returns the VM of that id if it is out of service, and reports whether it is.
func (d *Document) VM(id string) (VM, bool) { return d.vms.get(id) }

// VMs yields the VMs out of service, by id.
func (d *Document) VMs() iter.Seq[VM] { return d.vms.all() }

// Exceptions yields the exceptions by name, expired ones included.
func (d *Document) Exceptions() iter.Seq[Exception] { return d.exceptions.all() }

// Shards returns the names of all shards by data centre, in service or not.
func (d *Document) Shards() []string {
	var names []string
	for centre := range d.centres.all() {
		names = append(names, centre.Shards()...)
	}
	return names
}
