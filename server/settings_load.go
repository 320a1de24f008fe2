package server

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"filberthaven.example/loader"
	"github.com/samber/oops"
)

// LoadSettings reads the settings of an entry VM from an INI file. If the file can be
// read but is invalid, the error is a loader.Errors with all faults.
func LoadSettings(path string) (*Settings, error) {
	file, err := loader.ReadFile(path)
	if err != nil {
		return nil, oops.In("server").Wrapf(err, "settings can't be read")
	}
	return decodeSettings(file)
}

func decodeSettings(file loader.File) (*Settings, error) {
	decoder := loader.NewDecoder(file)
	settings := defaultSettings()
	settings.decode(decoder)
	if len(decoder.Errors()) == 0 {
		for _, fault := range settings.check() {
			decoder.AddError(strings.Trim(fault.Section(), "[]"), "", fault.Key(), fault.Unwrap())
		}
	}
	if err := decoder.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// SettingKeys returns all keys that a settings file may hold, such as "[vm] id", sorted.
func SettingKeys() []string {
	decoder := loader.NewDecoder(loader.NewFile("", []byte("[centre \"name\"]\n")))
	defaultSettings().decode(decoder)
	return decoder.KnownKeys()
}

// decode reads all sections. Absent values keep their defaults.
func (s *Settings) decode(d *loader.Decoder) {
	vm := d.Section("vm")
	s.id = loader.Require(vm, "id", loader.Word)
	s.centre = loader.Require(vm, "centre", loader.Word)
	s.listen = loader.Require(vm, "listen", loader.Address)
	s.internal = loader.Require(vm, "internal", loader.Address)
	s.advertise = loader.Get(vm, "advertise", loader.Address, s.internal)
	s.debug = loader.Get(vm, "debug", loader.Address, "")
	s.peers = loader.Get(vm, "peers", loader.List(loader.Address), nil)
	s.drainTimeout = loader.Get(vm, "drain", loader.Duration, s.drainTimeout, loader.Between(time.Second, time.Hour))
	s.platform = loader.Require(d.Section("platform"), "address", loader.URL)
	for section := range d.Sections("centre") {
		shards := loader.Get(section, "shards", loader.Int, 1, loader.Between(1, maxShards))
		s.centres = append(s.centres, NewCentre(section.Name(), shards))
	}
	slices.SortFunc(s.centres, func(a, b Centre) int { return cmp.Compare(a.name, b.name) })
	s.decodeLogging(d.Section("log"))
	s.decodeLimits(d.Section("limits"))
	s.decodeTLS(d.Section("tls"))
}

// maxShards is the largest number of shards of a data centre.
const maxShards = 64

func (s *Settings) decodeLogging(section *loader.Section) {
	s.logging.level = loader.Get(section, "level", loader.OneOf("trace", "debug", "info", "warn", "error"), s.logging.level)
	s.logging.json = loader.Get(section, "format", loader.OneOf("text", "json"), "text") == "json"
}

func (s *Settings) decodeLimits(section *loader.Section) {
	limits := &s.limits
	limits.maxBody = loader.Get(section, "body", loader.Size, limits.maxBody, loader.Between[int64](1<<10, 64<<20))
	header := loader.Get(section, "header", loader.Size, int64(limits.maxHeader), loader.Between[int64](4<<10, 1<<20))
	limits.maxHeader = int(header)
	limits.readTimeout = loader.Get(section, "read", loader.Duration, limits.readTimeout, loader.Between(100*time.Millisecond, time.Hour))
	limits.idleTimeout = loader.Get(section, "idle", loader.Duration, limits.idleTimeout, loader.Between(time.Second, time.Hour))
	limits.bodies = loader.Get(section, "bodies", loader.Size, limits.bodies, loader.Between[int64](1<<20, 1<<40))
	limits.connections = loader.Get(section, "connections", loader.Int, limits.connections, loader.Between(1, 1<<20))
	limits.stall = loader.Get(section, "stall", loader.Duration, limits.stall, loader.Between(10*time.Millisecond, time.Hour))
	limits.callTimeout = loader.Get(section, "call", loader.Duration, limits.callTimeout, loader.Between(10*time.Millisecond, time.Minute))
}

func (s *Settings) decodeTLS(section *loader.Section) {
	s.tls.certificate = loader.Get(section, "certificate", loader.Text, "")
	s.tls.key = loader.Get(section, "key", loader.Text, "")
	s.tls.authority = loader.Get(section, "authority", loader.Text, "")
	s.tls.reloadInterval = loader.Get(section, "reload", loader.Duration, s.tls.reloadInterval, loader.Between(time.Second, time.Hour))
	s.tls.coversWorkers = loader.Get(section, "workers", loader.Bool, s.tls.coversWorkers)
	s.tls.plaintextAllowed = loader.Get(section, "plaintext", loader.Bool, false)
}
