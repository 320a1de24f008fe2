package commands

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	spanPattern      = regexp.MustCompile("`([^`]+)`")
	qualifiedPattern = regexp.MustCompile(`\b([a-z]+)((?:\.[A-Z]\w*)+)`)
	testPattern      = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	entryPattern     = regexp.MustCompile(`(?m)^(?:test|race): (\w+)\S* \((\w+)\)$`)
)

// TestNames checks that the identifiers, tests and paths that the pages name exist.
func TestNames(t *testing.T) {
	c := qt.New(t)
	declared := declaredNames(c)
	for _, path := range pagePaths(c) {
		c.Run(strings.TrimPrefix(path, "../"), func(c *qt.C) {
			for _, span := range spanPattern.FindAllStringSubmatch(readPage(c, path), -1) {
				for _, name := range qualifiedPattern.FindAllStringSubmatch(span[1], -1) {
					if declared[name[1]] {
						checkDeclared(c, declared, name[0])
					}
				}
				checkTests(c, declared, span[1])
				for _, word := range strings.Fields(span[1]) {
					checkPath(c, declared, word)
				}
			}
		})
	}
}

// TestKnownRed checks that the tests that KNOWN-RED.txt names exist, and that each entry
// names the package of its test.
func TestKnownRed(t *testing.T) {
	c := qt.New(t)
	declared := declaredNames(c)
	_, entries, found := strings.Cut(readPage(c, "../KNOWN-RED.txt"), "\n\n")
	c.Assert(found, qt.IsTrue)
	checkTests(c, declared, entries)
	matches := entryPattern.FindAllStringSubmatch(entries, -1)
	c.Assert(matches, qt.HasLen, strings.Count("\n"+entries, "\ntest: ")+strings.Count("\n"+entries, "\nrace: "))
	for _, match := range matches {
		checkDeclared(c, declared, match[2]+"."+match[1])
	}
}

func checkDeclared(c *qt.C, declared map[string]bool, name string) {
	c.Helper()
	c.Check(declared[name], qt.IsTrue, qt.Commentf("%s is not declared", name))
}

// checkTests checks that each test, fuzz test and benchmark named in text exists in some
// package.
func checkTests(c *qt.C, declared map[string]bool, text string) {
	c.Helper()
	for _, name := range testPattern.FindAllString(text, -1) {
		checkDeclared(c, declared, name)
	}
}

// checkPath checks that word exists if it is a path that begins with ./ or one of the
// workspace's folders.
func checkPath(c *qt.C, declared map[string]bool, word string) {
	c.Helper()
	word = strings.TrimSuffix(strings.Trim(word, `'"(),;`), "/...")
	folder, _, nested := strings.Cut(word, "/")
	if !nested || folder != "." && !declared[folder] {
		return
	}
	found, err := filepath.Glob(filepath.Join("..", word))
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.Not(qt.HasLen), 0, qt.Commentf("no path %s", word))
}

func readPage(c *qt.C, path string) string {
	c.Helper()
	page, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	return string(page)
}

// pagePaths returns the paths of README.md, CONTRIBUTING.md and all pages under docs.
func pagePaths(c *qt.C) []string {
	c.Helper()
	paths := []string{"../README.md", "../CONTRIBUTING.md"}
	err := filepath.WalkDir("../docs", func(path string, _ fs.DirEntry, err error) error {
		if filepath.Ext(path) == ".md" {
			paths = append(paths, path)
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	return paths
}

// declaredNames returns what the Go files of the workspace declare at package level, tests
// included: each folder.Name, each folder.Type.Name of fields and methods, and the tests,
// fuzz tests and benchmarks also without their folder. It has the folders themselves, also
// those without Go files that pages name.
func declaredNames(c *qt.C) map[string]bool {
	c.Helper()
	declared := map[string]bool{".ci": true, "deploy": true, "model": true, "tools": true}
	for _, use := range regexp.MustCompile(`(?m)^\t\./(\w+)$`).FindAllStringSubmatch(readPage(c, "../go.work"), -1) {
		folder := use[1]
		declared[folder] = true
		err := filepath.WalkDir(filepath.Join("..", folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			for _, name := range fileNames(file) {
				declared[folder+"."+name] = true
				if strings.HasSuffix(path, "_test.go") && testPattern.FindString(name) == name {
					declared[name] = true
				}
			}
			return nil
		})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(declared["commands.TestNames"], qt.IsTrue)
	return declared
}

// fileNames returns the names that file declares at package level; fields and methods
// follow the name of their type and a dot.
func fileNames(file *ast.File) []string {
	var names []string
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			names = append(names, receiverPrefix(declaration)+declaration.Name.Name)
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				switch spec := spec.(type) {
				case *ast.ValueSpec:
					names = append(names, identifierNames("", spec.Names)...)
				case *ast.TypeSpec:
					names = append(names, spec.Name.Name)
					for _, field := range typeFields(spec.Type) {
						names = append(names, identifierNames(spec.Name.Name+".", field.Names)...)
					}
				}
			}
		}
	}
	return names
}

func identifierNames(prefix string, identifiers []*ast.Ident) []string {
	var names []string
	for _, identifier := range identifiers {
		names = append(names, prefix+identifier.Name)
	}
	return names
}

// receiverPrefix returns the name of a method's type and a dot, and nothing for a function.
func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	prefix := ""
	ast.Inspect(function.Recv.List[0].Type, func(node ast.Node) bool {
		if identifier, ok := node.(*ast.Ident); ok && prefix == "" {
			prefix = identifier.Name + "."
		}
		return true
	})
	return prefix
}

// typeFields returns the fields of a struct type or the methods of an interface type.
func typeFields(expression ast.Expr) []*ast.Field {
	switch expression := expression.(type) {
	case *ast.StructType:
		return expression.Fields.List
	case *ast.InterfaceType:
		return expression.Methods.List
	}
	return nil
}
