package commands

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"filberthaven.example/authenticator"
	"github.com/jessevdk/go-flags"
)

// File names of the authority, and the permissions of all files that certs writes.
const (
	authorityCertificate = "authority.pem"
	authorityKey         = "authority.key"
	secretMode           = 0o600
	publicMode           = 0o644
)

// certsCommand groups the commands of a private certificate authority.
type certsCommand struct{}

// certsInitCommand creates a certificate authority.
type certsInitCommand struct {
	env  *environment
	Name string `long:"name" default:"filberthaven" value-name:"NAME" description:"name of the authority"`
	Args struct {
		Folder string `positional-arg-name:"FOLDER" description:"where authority.pem and authority.key are written"`
	} `positional-args:"yes" required:"yes"`
}

// certsIssueCommand issues the certificate of an entry VM.
type certsIssueCommand struct {
	env      *environment
	Hosts    []string      `long:"host" required:"yes" value-name:"HOST" description:"IP number or name of the entry VM; may be repeated"`
	Lifetime time.Duration `long:"lifetime" default:"2160h" value-name:"DURATION" description:"how long the certificate is valid"`
	Args     struct {
		Folder string `positional-arg-name:"FOLDER" description:"folder of the authority"`
		VM     string `positional-arg-name:"ID" description:"id of the entry VM; ID.pem and ID.key are written"`
	} `positional-args:"yes" required:"yes"`
}

// certsResult is the output of certs init and certs issue.
type certsResult struct {
	Certificate string `json:"certificate"` // path
	Key         string `json:"key"`         // path
}

func addCerts(parser *flags.Parser, env *environment) error {
	command, err := parser.AddCommand("certs", "make certificates for trials",
		`Creates a private certificate authority, and certificates for entry VMs that it
signs. Entry VMs reload changed files without a restart. Don't copy the
authority's key to the VMs.

  filberthaven certs init pki
  filberthaven certs issue --host 10.20.1.10 pki entry-1

Exit codes: 0 written; 1 failed, such as for files that exist.`, &certsCommand{})
	if err != nil {
		return err
	}
	_, err = command.AddCommand("init", "make a private authority",
		"Writes authority.pem and authority.key. Existing files are not replaced.", &certsInitCommand{env: env})
	if err != nil {
		return err
	}
	_, err = command.AddCommand("issue", "make the certificate of an entry VM",
		"Writes ID.pem and ID.key, replacing existing ones, so that a certificate is renewed in place.", &certsIssueCommand{env: env})
	return err
}

// Execute runs the command.
func (c *certsInitCommand) Execute([]string) error {
	authority, err := authenticator.NewAuthority(c.Name)
	if err != nil {
		return err
	}
	key, err := authority.Key()
	if err != nil {
		return err
	}
	result := certsResult{filepath.Join(c.Args.Folder, authorityCertificate), filepath.Join(c.Args.Folder, authorityKey)}
	if err := os.MkdirAll(c.Args.Folder, 0o755); err != nil {
		return err
	}
	if err := writeNewFile(result.Key, key, secretMode); err != nil {
		return err
	}
	if err := writeNewFile(result.Certificate, authority.Certificate(), publicMode); err != nil {
		return err
	}
	return c.env.printCerts(result)
}

// Execute runs the command.
func (c *certsIssueCommand) Execute([]string) error {
	certificate, err := os.ReadFile(filepath.Join(c.Args.Folder, authorityCertificate))
	if err != nil {
		return err
	}
	key, err := os.ReadFile(filepath.Join(c.Args.Folder, authorityKey))
	if err != nil {
		return err
	}
	authority, err := authenticator.ParseAuthority(certificate, key)
	if err != nil {
		return err
	}
	certificate, key, err = authority.Issue(c.Args.VM, c.Hosts, c.Lifetime)
	if err != nil {
		return err
	}
	result := certsResult{filepath.Join(c.Args.Folder, c.Args.VM+".pem"), filepath.Join(c.Args.Folder, c.Args.VM+".key")}
	if err := replaceFile(result.Key, key, secretMode); err != nil {
		return err
	}
	if err := replaceFile(result.Certificate, certificate, publicMode); err != nil {
		return err
	}
	return c.env.printCerts(result)
}

func (e *environment) printCerts(result certsResult) error {
	return e.print(result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "certificate %s\nkey         %s\n", result.Certificate, result.Key)
		return err
	})
}

// writeNewFile creates a file. It fails if the file exists.
func writeNewFile(path string, data []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	return errors.Join(err, file.Close())
}

// replaceFile writes a file atomically, so that a reader never sees a partial one.
func replaceFile(path string, data []byte, mode os.FileMode) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, mode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
