// Same_code compares two checkouts of this module: their token streams must be
// equal but for comments, struct tags and identifiers, and identifiers must map
// one to one by the objects that they denote, in all packages and their tests. So
// a round of renames and comments changes no behaviour, as long as the names that
// leave the processes stay too. Changed string literals are counted, and listed
// with -texts; -names lists the renamed identifiers.
//
//	go run .ci/same_code.go [-names] [-texts] OLD NEW
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/scanner"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
)

// listedPackage is a package as go list prints it.
type listedPackage struct {
	ImportPath, Dir, Export, ForTest string
	GoFiles, CgoFiles                []string
	ImportMap                        map[string]string
	Module                           *struct{ Main bool }
}

// scanned is one token; tag marks a struct tag.
type scanned struct {
	kind token.Token
	text string
	pos  token.Pos
	tag  bool
}

// file holds the tokens of a file and the objects that its identifiers denote.
type file struct {
	name    string
	tokens  []scanned
	objects map[token.Pos]types.Object
}

// checkout holds the files of one checkout by package and name.
type checkout struct {
	dir   string
	fset  *token.FileSet
	files map[string]map[string]*file
}

// load reads and type-checks every package of a checkout with its tests. It panics on an error, such as code that does not build.
func load(dir string) *checkout {
	dir, err := filepath.Abs(dir)
	if err != nil {
		panic(err)
	}
	s := &checkout{dir: dir, fset: token.NewFileSet(), files: map[string]map[string]*file{}}
	cmd := exec.Command("go", "list", "-test", "-export", "-deps", "-json=ImportPath,Dir,Export,ForTest,GoFiles,CgoFiles,Module,ImportMap", "./...")
	cmd.Dir, cmd.Stderr = dir, os.Stderr
	out, err := cmd.Output()
	if err != nil {
		panic(err)
	}
	var all []listedPackage
	d := json.NewDecoder(bytes.NewReader(out))
	for {
		var p listedPackage
		if err := d.Decode(&p); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			panic(err)
		}
		all = append(all, p)
	}
	exports := map[string]string{}
	hasTest := map[string]bool{}
	for _, p := range all {
		exports[p.ImportPath] = p.Export
		if strings.Contains(p.ImportPath, " [") {
			hasTest[strings.SplitN(p.ImportPath, " ", 2)[0]] = true
		}
	}
	for _, p := range all {
		if p.Module == nil || !p.Module.Main || strings.HasSuffix(p.ImportPath, ".test") {
			continue
		}
		// Packages that are compiled again for another package's test, or that have a variant with tests, are read once.
		if i := strings.Index(p.ImportPath, " ["); i >= 0 {
			base := strings.TrimSuffix(p.ImportPath[:i], "_test")
			if p.ForTest != base {
				continue
			}
		} else if hasTest[p.ImportPath] && contains(all, p.ImportPath+" ["+p.ImportPath+".test]") {
			continue
		}
		lookup := func(path string) (io.ReadCloser, error) {
			if m, ok := p.ImportMap[path]; ok {
				path = m
			}
			if exports[path] == "" {
				return nil, fmt.Errorf("no export data of %s", path)
			}
			return os.Open(exports[path])
		}
		imp := importer.ForCompiler(s.fset, "gc", lookup)
		var files []*ast.File
		m := map[string]*file{}
		for _, n := range append(p.GoFiles, p.CgoFiles...) {
			path := filepath.Join(p.Dir, n)
			src, err := os.ReadFile(path)
			if err != nil {
				panic(err)
			}
			f, err := parser.ParseFile(s.fset, path, src, 0)
			if err != nil {
				panic(err)
			}
			files = append(files, f)
			m[n] = &file{name: n, objects: map[token.Pos]types.Object{}}
			tags := map[int]bool{}
			ast.Inspect(f, func(x ast.Node) bool {
				if fl, ok := x.(*ast.Field); ok && fl.Tag != nil {
					tags[s.fset.Position(fl.Tag.Pos()).Offset] = true
				}
				return true
			})
			base := f.FileStart
			tf := token.NewFileSet().AddFile(n, -1, len(src))
			var sc scanner.Scanner
			sc.Init(tf, src, nil, 0)
			for {
				pos, t, lit := sc.Scan()
				if t == token.EOF {
					break
				}
				off := tf.Offset(pos)
				m[n].tokens = append(m[n].tokens, scanned{t, lit, base + token.Pos(off), tags[off]})
			}
		}
		info := &types.Info{Defs: map[*ast.Ident]types.Object{}, Uses: map[*ast.Ident]types.Object{}}
		path := strings.SplitN(p.ImportPath, " ", 2)[0]
		if _, err := (&types.Config{Importer: imp}).Check(path, s.fset, files, info); err != nil {
			panic(err)
		}
		for i, n := range append(p.GoFiles, p.CgoFiles...) {
			ast.Inspect(files[i], func(x ast.Node) bool {
				if id, ok := x.(*ast.Ident); ok {
					o := info.Defs[id]
					if o == nil {
						o = info.Uses[id]
					}
					m[n].objects[id.Pos()] = o
				}
				return true
			})
		}
		s.files[p.ImportPath] = m
	}
	return s
}

// contains reports whether go list printed a package of that name.
func contains(all []listedPackage, name string) bool {
	for _, p := range all {
		if p.ImportPath == name {
			return true
		}
	}
	return false
}

// normalize leaves out struct tags and what formatting alone changes.
func normalize(in []scanned) []scanned {
	var out []scanned
	for _, t := range in {
		if t.tag {
			continue
		}
		if t.kind == token.SEMICOLON {
			t.text = ""
		}
		if t.kind == token.RPAREN || t.kind == token.RBRACE {
			for len(out) > 0 && (out[len(out)-1].kind == token.SEMICOLON || out[len(out)-1].kind == token.COMMA) {
				out = out[:len(out)-1]
			}
		}
		out = append(out, t)
	}
	return out
}

// key identifies an object within a checkout.
func (s *checkout) key(o types.Object) string {
	if o == nil {
		return "none"
	}
	if o.Pkg() == nil {
		return "universe " + o.Name()
	}
	if !strings.HasPrefix(o.Pkg().Path(), "clementinelock/") {
		return "ext " + o.Pkg().Path() + " " + o.Name()
	}
	if p, ok := o.(*types.PkgName); ok {
		return "import " + p.Imported().Path()
	}
	p := s.fset.Position(o.Pos())
	rel, _ := filepath.Rel(s.dir, p.Filename)
	return fmt.Sprintf("%s:%d:%d", rel, p.Line, p.Column)
}

func main() {
	listNames := flag.Bool("names", false, "list the renamed identifiers")
	listTexts := flag.Bool("texts", false, "list the changed string literals")
	flag.Parse()
	if flag.NArg() != 2 {
		fmt.Fprintln(os.Stderr, "same_code: expected two folders, got", flag.NArg())
		os.Exit(2)
	}
	a, b := load(flag.Arg(0)), load(flag.Arg(1))
	bad, renamed, strs := 0, map[string]bool{}, 0
	fwd, back := map[string]string{}, map[string]string{}
	report := func(f string, args ...any) {
		bad++
		if bad <= 40 {
			fmt.Printf(f+"\n", args...)
		}
	}
	nfiles := 0
	for path, fa := range a.files {
		fb := b.files[path]
		if fb == nil {
			report("package %s is missing", path)
			continue
		}
		var ra, rb []*file
		pairs := [][2]*file{}
		for n, f := range fa {
			if g := fb[n]; g != nil {
				pairs = append(pairs, [2]*file{f, g})
			} else {
				ra = append(ra, f)
			}
		}
		for n, g := range fb {
			if fa[n] == nil {
				rb = append(rb, g)
			}
		}
		for _, f := range ra {
			found := false
			for i, g := range rb {
				if g != nil && len(normalize(f.tokens)) == len(normalize(g.tokens)) {
					pairs = append(pairs, [2]*file{f, g})
					rb[i], found = nil, true
					fmt.Printf("moved %s %s -> %s\n", path, f.name, g.name)
					break
				}
			}
			if !found {
				report("%s %s has no match", path, f.name)
			}
		}
		for _, g := range rb {
			if g != nil {
				report("%s %s is new", path, g.name)
			}
		}
		for _, pr := range pairs {
			nfiles++
			x, y := normalize(pr[0].tokens), normalize(pr[1].tokens)
			n := min(len(x), len(y))
			i := 0
			for ; i < n; i++ {
				p, q := x[i], y[i]
				if p.kind != q.kind {
					break
				}
				if p.kind == token.IDENT {
					ka, kb := a.key(pr[0].objects[p.pos]), b.key(pr[1].objects[q.pos])
					if p.text != q.text {
						renamed[p.text+" -> "+q.text] = true
					}
					if v, ok := fwd[ka]; ok && v != kb && ka != "none" {
						report("%s: %s means %s and %s", b.fset.Position(q.pos), q.text, v, kb)
					} else if v, ok := back[kb]; ok && v != ka && kb != "none" {
						report("%s: %s comes from %s and %s", b.fset.Position(q.pos), q.text, v, ka)
					} else {
						fwd[ka], back[kb] = kb, ka
					}
				} else if p.text != q.text {
					if p.kind == token.STRING {
						strs++
						if *listTexts {
							fmt.Printf("text %s: %s\n   -> %s\n", b.fset.Position(q.pos), p.text, q.text)
						}
					} else {
						report("%s: literal %s -> %s", b.fset.Position(q.pos), p.text, q.text)
					}
				}
			}
			if i < n || len(x) != len(y) {
				at := ""
				if i < len(y) {
					at = b.fset.Position(y[i].pos).String()
				}
				report("%s %s: tokens differ from %s on (%d and %d tokens)", path, pr[1].name, at, len(x), len(y))
			}
		}
	}
	for path := range b.files {
		if a.files[path] == nil {
			report("package %s is new", path)
		}
	}
	var list []string
	for r := range renamed {
		list = append(list, r)
	}
	sort.Strings(list)
	if *listNames {
		fmt.Println(strings.Join(list, "\n"))
	}
	fmt.Printf("%d files, %d names changed, %d texts changed, %d differences\n", nfiles, len(renamed), strs, bad)
	if bad > 0 {
		os.Exit(1)
	}
}
