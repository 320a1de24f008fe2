package commands

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"filberthaven.example/configurer"
	"filberthaven.example/emulator"
	"filberthaven.example/server"
	qt "github.com/frankban/quicktest"
)

var rowPattern = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

// readTable returns the first cells of the table under a heading of the reference page.
func readTable(c *qt.C, heading string) []string {
	c.Helper()
	page, err := os.ReadFile("../docs/REFERENCE.md")
	c.Assert(err, qt.IsNil)
	_, rest, found := strings.Cut(string(page), "\n## "+heading+"\n")
	c.Assert(found, qt.IsTrue, qt.Commentf("no heading %q", heading))
	section, _, _ := strings.Cut(rest, "\n## ")
	var cells []string
	for _, match := range rowPattern.FindAllStringSubmatch(section, -1) {
		cells = append(cells, match[1])
	}
	slices.Sort(cells)
	return cells
}

// TestReference checks that each table of the reference page lists exactly what the
// code defines.
func TestReference(t *testing.T) {
	c := qt.New(t)
	configCopy := configurer.NewCopy()
	handler := configurer.NewHandler(configurer.NewWriter(emulator.NewStore().KV(), configCopy), configCopy)
	for heading, want := range map[string][]string{
		"Settings":       server.SettingKeys(),
		"Declarations":   configurer.DeclarationKeys(),
		"Operators' API": handler.Routes(),
		"Problems":       configurer.ProblemTypes(),
		"Callers' API":   callerRoutes(c),
		"Headers":        callerHeaders(c),
		"Commands":       commandNames(c),
		"Exit codes":     exitCodes(),
		"Metrics":        metricNames(c),
	} {
		c.Run(heading, func(c *qt.C) {
			slices.Sort(want)
			c.Assert(len(want) > 0, qt.IsTrue)
			c.Assert(readTable(c, heading), qt.DeepEquals, want)
		})
	}
}

// TestLinks checks that the links between pages lead to existing pages.
func TestLinks(t *testing.T) {
	c := qt.New(t)
	link := regexp.MustCompile(`\]\(([A-Za-z0-9_./-]+\.md)\)`)
	err := filepath.WalkDir("../docs", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		page, err := os.ReadFile(path)
		for _, match := range link.FindAllStringSubmatch(string(page), -1) {
			_, missing := os.Stat(filepath.Join(filepath.Dir(path), match[1]))
			c.Check(missing, qt.IsNil, qt.Commentf("%s links to %s", path, match[1]))
		}
		return err
	})
	c.Assert(err, qt.IsNil)
}

func commandNames(c *qt.C) []string {
	c.Helper()
	parser, err := newParser(&environment{stdout: io.Discard, stderr: io.Discard})
	c.Assert(err, qt.IsNil)
	var names []string
	for _, command := range parser.Commands() {
		names = append(names, command.Name)
		c.Check(strings.Contains(command.LongDescription, "Exit codes:"), qt.IsTrue, qt.Commentf("%s documents no exit codes", command.Name))
	}
	return names
}

func exitCodes() []string {
	var codes []string
	for code := exitDone; code <= exitDiffers; code++ {
		codes = append(codes, fmt.Sprint(code))
	}
	return codes
}

// literalCalls returns the string literals among the arguments of matching method calls
// in the Go files under folder, by method.
func literalCalls(c *qt.C, folder string, match func(method string) bool) map[string][]string {
	c.Helper()
	found := map[string][]string{}
	inspect(c, folder, func(node ast.Node) {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !match(selector.Sel.Name) {
			return
		}
		for _, argument := range call.Args {
			if text, ok := stringLiteral(argument); ok {
				found[selector.Sel.Name] = append(found[selector.Sel.Name], text)
			}
		}
	})
	return found
}

// inspect visits the syntax nodes of all Go files under folder except tests.
func inspect(c *qt.C, folder string, visit func(ast.Node)) {
	c.Helper()
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			visit(node)
			return true
		})
		return nil
	})
	c.Assert(err, qt.IsNil)
}

// stringLiteral returns the value of a string literal, or false for any other expression.
func stringLiteral(node ast.Expr) (string, bool) {
	basic, ok := node.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(basic.Value)
	return text, err == nil
}

// callerRoutes returns the routes of the callers' API: those that package router
// registers.
func callerRoutes(c *qt.C) []string {
	methods := map[string]string{"Get": "GET ", "Post": "POST ", "Delete": "DELETE ", "HandleFunc": "ANY ", "Method": "GET "}
	var routes []string
	for method, paths := range literalCalls(c, "../router", func(name string) bool { return methods[name] != "" }) {
		for _, path := range paths {
			if strings.HasPrefix(path, "/") {
				routes = append(routes, methods[method]+path)
			}
		}
	}
	return routes
}

// callerHeaders returns the names of the Filberthaven headers that package router
// declares.
func callerHeaders(c *qt.C) []string {
	var headers []string
	inspect(c, "../router", func(node ast.Node) {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return
		}
		for _, value := range spec.Values {
			if text, ok := stringLiteral(value); ok && strings.HasPrefix(text, "Filberthaven-") && !strings.HasSuffix(text, "-") {
				headers = append(headers, text)
			}
		}
	})
	return headers
}

// metricNames returns the names of all metrics that are registered under a literal name.
func metricNames(c *qt.C) []string {
	register := regexp.MustCompile(`^(GetOrRegister|NewRegistered)[A-Z]`)
	var names []string
	for _, found := range literalCalls(c, "..", register.MatchString) {
		names = append(names, found...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
