// Command rename renames identifiers of the module in the current directory, with every use in
// product and tests, from a list of lines "PACKAGE.NAME NEW", "PACKAGE.TYPE.MEMBER NEW" or, for parameters
// and variables of a function or method, "PACKAGE.FUNC:NAME NEW" or "PACKAGE.TYPE.METHOD:NAME NEW":
//
//	rename [-log FILE] [-replay] LIST
//
// PACKAGE is the package's folder. -log appends what was renamed. -replay takes such a log: names that
// don't exist are passed over, and unexported ones are left out. Doc comments that begin with the name
// follow; the name elsewhere in comments does not.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"go/ast"
	"go/format"
	"go/token"
	"go/types"
	"log"
	"os"
	"regexp"
	"slices"
	"sort"
	"strings"

	"golang.org/x/tools/go/packages"
)

// rename is one line of the list.
type rename struct{ path, name, to string }

func main() {
	log.SetFlags(0)
	logFile := flag.String("log", "", "file that renames are appended to")
	replay := flag.Bool("replay", false, "pass over names that don't exist or are unexported")
	flag.Parse()
	if flag.NArg() != 1 {
		log.Fatal("usage: rename [-log FILE] [-replay] LIST")
	}
	batches, err := read(flag.Arg(0))
	if err != nil {
		log.Fatal(err)
	}
	for _, b := range batches {
		if err := apply(b, *replay, *logFile); err != nil {
			log.Fatal(err)
		}
	}
}

// read returns the renames of a file; a line "---" begins a batch, which sees the names of the one before.
func read(path string) ([][]rename, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	batches := [][]rename{nil}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		text := strings.TrimSpace(lines.Text())
		if text == "---" {
			batches = append(batches, nil)
			continue
		}
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		fields := strings.Fields(text)
		slash := strings.LastIndex(fields[0], "/") + 1
		dot := strings.Index(fields[0][slash:], ".")
		if len(fields) != 2 || dot < 0 || !token.IsIdentifier(fields[1]) {
			return nil, fmt.Errorf("%s: %q is not PACKAGE.NAME NEW", path, text)
		}
		n := len(batches) - 1
		batches[n] = append(batches[n], rename{fields[0][:slash+dot], fields[0][slash+dot+1:], fields[1]})
	}
	return batches, lines.Err()
}

// edit replaces n bytes at an offset of a file.
type edit struct {
	offset, n int
	text      string
}

func apply(batch []rename, replay bool, logFile string) error {
	if len(batch) == 0 {
		return nil
	}
	set := token.NewFileSet()
	loaded, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedFiles |
			packages.NeedImports | packages.NeedDeps | packages.NeedModule,
		Tests: true, Fset: set,
	}, "./...")
	if err != nil {
		return err
	}
	// The generated main packages of tests are left out: another run may just be writing them to the cache.
	loaded = slices.DeleteFunc(loaded, func(p *packages.Package) bool { return strings.HasSuffix(p.PkgPath, ".test") })
	for _, p := range loaded {
		for _, e := range p.Errors {
			return fmt.Errorf("the module does not build: %w", e)
		}
	}
	// Objects are found by the place of their declaration, since a package and its test variant have
	// one each.
	targets := map[string]rename{}
	found := map[rename]bool{}
	for _, r := range batch {
		if replay && !exported(r.name) {
			continue
		}
		for _, p := range loaded {
			if p.Module == nil || p.Types == nil || !strings.HasSuffix(strings.TrimSuffix(p.PkgPath, "_test"), p.Module.Path+"/"+r.path) {
				continue
			}
			objects := lookup(p.Types, r.name)
			if function, local, ok := strings.Cut(r.name, ":"); ok {
				objects = locals(p, function, local)
			}
			for _, o := range objects {
				targets[set.Position(o.Pos()).String()] = r
				found[r] = true
			}
		}
		if !found[r] && !replay {
			return fmt.Errorf("%s.%s does not exist", r.path, r.name)
		}
	}
	edits := map[string]map[int]edit{}
	put := func(pos token.Pos, old, text string) {
		at := set.Position(pos)
		if edits[at.Filename] == nil {
			edits[at.Filename] = map[int]edit{}
		}
		edits[at.Filename][at.Offset] = edit{at.Offset, len(old), text}
	}
	visit := func(id *ast.Ident, o types.Object) {
		if o == nil || !o.Pos().IsValid() {
			return
		}
		if v, ok := o.(*types.Var); ok {
			o = v.Origin()
			if v.Embedded() { // an embedded field is renamed with its type
				if r, ok := targets[set.Position(embedded(v).Pos()).String()]; ok {
					put(id.Pos(), id.Name, r.to)
					return
				}
			}
		}
		if f, ok := o.(*types.Func); ok {
			o = f.Origin()
		}
		if r, ok := targets[set.Position(o.Pos()).String()]; ok && id.Name == last(r.name) {
			put(id.Pos(), id.Name, r.to)
		}
	}
	for _, p := range loaded {
		if p.TypesInfo == nil {
			continue
		}
		for id, o := range p.TypesInfo.Defs {
			visit(id, o)
		}
		for id, o := range p.TypesInfo.Uses {
			visit(id, o)
		}
		for _, f := range p.Syntax {
			comments(f, func(id *ast.Ident, doc *ast.CommentGroup) {
				r, ok := targets[set.Position(id.Pos()).String()]
				if !ok || doc == nil {
					return
				}
				word := regexp.MustCompile(`\b` + regexp.QuoteMeta(id.Name) + `\b`)
				for _, c := range doc.List {
					for _, m := range word.FindAllStringIndex(c.Text, -1) {
						if ast.IsExported(id.Name) || m[0] == len("// ") {
							put(c.Pos()+token.Pos(m[0]), id.Name, r.to)
						}
					}
				}
			})
		}
	}
	for name, places := range edits {
		if err := write(name, places); err != nil {
			return err
		}
	}
	if logFile == "" {
		return nil
	}
	out, err := os.OpenFile(logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	for _, r := range batch {
		fmt.Fprintf(out, "%s.%s %s\n", r.path, r.name, r.to)
	}
	_, err = fmt.Fprintln(out, "---")
	return err
}

func exported(name string) bool { return !strings.Contains(name, ":") && ast.IsExported(last(name)) }

// last returns the identifier at the end of a name.
func last(name string) string { return name[strings.LastIndexAny(name, ".:")+1:] }

// locals returns the variables of a name that are declared in a function, its parameters among them.
func locals(p *packages.Package, function, name string) []types.Object {
	var out []types.Object
	for _, f := range p.Syntax {
		for _, d := range f.Decls {
			d, ok := d.(*ast.FuncDecl)
			if !ok || functionName(d) != function {
				continue
			}
			ast.Inspect(d, func(n ast.Node) bool {
				if id, ok := n.(*ast.Ident); ok && id.Name == name {
					if o := p.TypesInfo.Defs[id]; o != nil {
						out = append(out, o)
					} else if o := p.TypesInfo.Uses[id]; o != nil && o.Pos() >= d.Pos() && o.Pos() < d.End() {
						out = append(out, o) // the variable of a type switch has no definition of its own
					}
				}
				return true
			})
		}
	}
	return out
}

// functionName returns FUNC, or TYPE.METHOD.
func functionName(d *ast.FuncDecl) string {
	if d.Recv == nil || len(d.Recv.List) == 0 {
		return d.Name.Name
	}
	t := d.Recv.List[0].Type
	if s, ok := t.(*ast.StarExpr); ok {
		t = s.X
	}
	if i, ok := t.(*ast.IndexExpr); ok {
		t = i.X
	}
	if id, ok := t.(*ast.Ident); ok {
		return id.Name + "." + d.Name.Name
	}
	return d.Name.Name
}

// embedded returns the type name that an embedded field stands for.
func embedded(v *types.Var) types.Object {
	t := v.Type()
	if p, ok := t.(*types.Pointer); ok {
		t = p.Elem()
	}
	switch n := types.Unalias(t).(type) {
	case *types.Named:
		return n.Origin().Obj()
	}
	return v
}

// lookup returns the objects of a package under NAME or TYPE.MEMBER; fields of anonymous structs within
// a type are not found.
func lookup(p *types.Package, name string) []types.Object {
	first, member, isMember := strings.Cut(name, ".")
	o := p.Scope().Lookup(first)
	if o == nil {
		return nil
	}
	if !isMember {
		return []types.Object{o}
	}
	var out []types.Object
	if named, ok := o.Type().(*types.Named); ok {
		for i := range named.NumMethods() {
			if m := named.Method(i); m.Name() == member {
				out = append(out, m)
			}
		}
	}
	switch t := o.Type().Underlying().(type) {
	case *types.Struct:
		for i := range t.NumFields() {
			if f := t.Field(i); f.Name() == member && !f.Embedded() {
				out = append(out, f)
			}
		}
	case *types.Interface:
		for i := range t.NumExplicitMethods() {
			if m := t.ExplicitMethod(i); m.Name() == member {
				out = append(out, m)
			}
		}
	}
	return out
}

// comments calls visit with each declared name of a file and its doc comment.
func comments(f *ast.File, visit func(*ast.Ident, *ast.CommentGroup)) {
	ast.Inspect(f, func(n ast.Node) bool {
		switch d := n.(type) {
		case *ast.FuncDecl:
			visit(d.Name, d.Doc)
		case *ast.GenDecl:
			for _, s := range d.Specs {
				switch s := s.(type) {
				case *ast.TypeSpec:
					visit(s.Name, first(s.Doc, d.Doc))
				case *ast.ValueSpec:
					for _, id := range s.Names {
						visit(id, first(s.Doc, d.Doc))
					}
				}
			}
		case *ast.Field:
			for _, id := range d.Names {
				visit(id, d.Doc)
			}
		}
		return true
	})
}

func first(a, b *ast.CommentGroup) *ast.CommentGroup {
	if a != nil {
		return a
	}
	return b
}

func write(name string, places map[int]edit) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	var list []edit
	for _, e := range places {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].offset > list[j].offset })
	for _, e := range list {
		data = append(data[:e.offset:e.offset], append([]byte(e.text), data[e.offset+e.n:]...)...)
	}
	formatted, err := format.Source(data)
	if err != nil {
		return fmt.Errorf("format %s: %w", name, err)
	}
	return os.WriteFile(name, formatted, 0o644)
}
