package jasminelock_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "github.com/jasminelock/jasminelock"

// standinUsers are the packages that may import a stand-in: the demo, the soak
// test's harness, and the command that runs stand-ins.
var standinUsers = []string{"demo", "soak", "cmd/jasminelock-standin"}

// toolUsers maps each package that runs stand-ins to the only package that may
// import it, so that no product package imports a stand-in indirectly.
var toolUsers = map[string]string{"demo": "cmd/jasminelock", "soak": "cmd/jasminelock-soak"}

// platformUsers are the only packages that may import the adapter to the users'
// platform: package host, which assembles an entry host, and the operators' command
// line, which checks a configuration as hosts decode it.
var platformUsers = []string{"host", "cmd/jasminelock"}

// decisionPackages are deterministic: the time and the random source are passed in.
var decisionPackages = []string{"core", "sched", "fairshare", "limit", "locate", "request", "quarantine", "fleet", "membership", "spread", "assign", "catalog", "throttle", "workcost", "intake"}

// forbiddenImports are the packages that a decision package may not import.
var forbiddenImports = []string{"net", "net/http", "os", "math/rand", "crypto/rand"}

// forbiddenClock are the functions of package time that read a clock.
var forbiddenClock = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"}

// source is a parsed Go file that is not a test.
type source struct {
	dir  string
	path string
	file *ast.File
}

func sources(t *testing.T) []source {
	t.Helper()
	var all []source
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		all = append(all, source{filepath.ToSlash(filepath.Dir(path)), path, file})
		return err
	})
	require.NoError(t, err)
	return all
}

func imports(f *ast.File) []string {
	var paths []string
	for _, i := range f.Imports {
		path, _ := strconv.Unquote(i.Path.Value)
		paths = append(paths, path)
	}
	return paths
}

func importsStandin(f *ast.File) bool {
	return slices.ContainsFunc(imports(f), func(path string) bool { return strings.HasPrefix(path, module+"/standin") })
}

// importsTool returns the tools that a file imports although its directory may
// not import them.
func importsTool(dir string, f *ast.File) []string {
	var found []string
	for _, path := range imports(f) {
		tool := strings.TrimPrefix(path, module+"/")
		if user, ok := toolUsers[tool]; ok && dir != user {
			found = append(found, tool)
		}
	}
	return found
}

// externalInputs returns the forbidden imports of a file and the functions that it
// calls to read a clock.
func externalInputs(f *ast.File) []string {
	var found []string
	for _, path := range imports(f) {
		if slices.Contains(forbiddenImports, path) {
			found = append(found, path)
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		call, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if pkg, ok := call.X.(*ast.Ident); ok && pkg.Name == "time" && slices.Contains(forbiddenClock, call.Sel.Name) {
			found = append(found, "time."+call.Sel.Name)
		}
		return true
	})
	return found
}

func TestStandins_NotInProduct(t *testing.T) {
	for _, s := range sources(t) {
		require.Empty(t, importsTool(s.dir, s.file), s.path)
		if strings.HasPrefix(s.dir, "standin") || slices.Contains(standinUsers, s.dir) {
			continue
		}
		require.False(t, importsStandin(s.file), s.path)
	}
}

func importsPlatform(f *ast.File) bool { return slices.Contains(imports(f), module+"/platform") }

func TestPlatform_OneImporter(t *testing.T) {
	for _, s := range sources(t) {
		if !slices.Contains(platformUsers, s.dir) {
			require.False(t, importsPlatform(s.file), s.path)
		}
	}
}

func TestDecisionPackages_NoExternalInputs(t *testing.T) {
	for _, s := range sources(t) {
		if slices.Contains(decisionPackages, s.dir) {
			require.Empty(t, externalInputs(s.file), s.path)
		}
	}
}

func TestStructureChecks_FindViolations(t *testing.T) {
	const breach = `package core
import ("os"; "time"; _ "github.com/jasminelock/jasminelock/standin/engine"; _ "github.com/jasminelock/jasminelock/soak")
var _, _ = os.Args, time.Now()`
	file, err := parser.ParseFile(token.NewFileSet(), "breach.go", breach, 0)
	require.NoError(t, err)
	require.True(t, importsStandin(file))
	require.Equal(t, []string{"soak"}, importsTool("core", file))
	require.Empty(t, importsTool("cmd/jasminelock-soak", file))
	require.Equal(t, []string{"os", "time.Now"}, externalInputs(file))
	file, err = parser.ParseFile(token.NewFileSet(), "wire.go", `package entry; import _ "`+module+`/platform"`, 0)
	require.NoError(t, err)
	require.True(t, importsPlatform(file))
}
