// Command samestructure compares two checkouts of a module, product and tests, with names, comments and
// strings left out, and prints declarations that differ:
//
//	samestructure [-texts] BEFORE AFTER
//
// Identifiers are numbered by the object that they denote, not by their spelling, so that a rename that
// makes one name shadow another shows as a difference. -texts prints the string literals that changed.
// It exits 1 if a declaration differs.
package main

import (
	"flag"
	"fmt"
	"go/ast"
	"go/token"
	"go/types"
	"log"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"golang.org/x/tools/go/packages"
)

// decl is a top-level declaration.
type decl struct {
	place, shape string
	// texts holds its string literals in source order.
	texts []string
}

func main() {
	log.SetFlags(0)
	showTexts := flag.Bool("texts", false, "print string literals that changed")
	flag.Parse()
	if flag.NArg() != 2 {
		log.Fatal("usage: samestructure [-texts] BEFORE AFTER")
	}
	before, after := load(flag.Arg(0)), load(flag.Arg(1))
	same, different := 0, 0
	for path, decls := range before {
		free := map[string][]decl{}
		for _, d := range after[path] {
			free[d.shape] = append(free[d.shape], d)
		}
		// Declarations with equal texts are matched first: some have the same shape.
		match := func(d decl, equalTexts bool) bool {
			i := slices.IndexFunc(free[d.shape], func(o decl) bool { return !equalTexts || slices.Equal(d.texts, o.texts) })
			if i < 0 {
				return false
			}
			o := free[d.shape][i]
			for k := range d.texts {
				if *showTexts && d.texts[k] != o.texts[k] {
					fmt.Printf("text: %s %s -> %s\n", o.place, d.texts[k], o.texts[k])
				}
			}
			free[d.shape] = slices.Delete(free[d.shape], i, i+1)
			same++
			return true
		}
		var rest []decl
		for _, d := range decls {
			if !match(d, true) {
				rest = append(rest, d)
			}
		}
		for _, d := range rest {
			if !match(d, false) {
				fmt.Println("only before:", d.place)
				different++
			}
		}
		for _, decls := range free {
			for _, d := range decls {
				fmt.Println("only after:", d.place)
				different++
			}
		}
	}
	fmt.Printf("%d declarations equal, %d differ\n", same, different)
	if different > 0 {
		os.Exit(1)
	}
}

// load returns the declarations of the module in a folder, by package path; those of external test
// packages stand with the package that they test.
func load(folder string) map[string][]decl {
	folder, err := filepath.Abs(folder)
	if err != nil {
		log.Fatal(err)
	}
	set := token.NewFileSet()
	loaded, err := packages.Load(&packages.Config{
		Dir: folder, Tests: true, Fset: set,
		Mode: packages.NeedName | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedFiles |
			packages.NeedImports | packages.NeedDeps | packages.NeedModule,
	}, "./...")
	if err != nil {
		log.Fatal(err)
	}
	out := map[string][]decl{}
	seen := map[string]bool{}
	for _, p := range loaded {
		if strings.HasSuffix(p.PkgPath, ".test") {
			continue
		}
		for _, e := range p.Errors {
			log.Fatalf("%s does not build: %v", folder, e)
		}
		path := strings.TrimSuffix(p.PkgPath, "_test")
		for _, f := range p.Syntax {
			name := set.Position(f.Pos()).Filename
			if seen[name] {
				continue
			}
			seen[name] = true
			for _, d := range f.Decls {
				if g, ok := d.(*ast.GenDecl); !ok || g.Tok != token.IMPORT {
					out[path] = append(out[path], newDecl(set, d, p.TypesInfo, folder))
				}
			}
		}
	}
	return out
}

// newDecl renders a declaration. Objects of other modules and the universe are written in full, all others
// by order of first use in the declaration.
func newDecl(set *token.FileSet, n ast.Node, info *types.Info, folder string) decl {
	var b strings.Builder
	var texts []string
	numbers := map[string]int{}
	ident := func(id *ast.Ident) {
		o := object(info, id)
		if p, ok := o.(*types.PkgName); ok {
			fmt.Fprintf(&b, "package:%s ", p.Imported().Path())
			return
		}
		key := id.Name
		if o != nil {
			if !o.Pos().IsValid() || !strings.HasPrefix(set.Position(o.Pos()).Filename, folder) {
				fmt.Fprintf(&b, "outside:%v.%s ", o.Pkg(), o.Name())
				return
			}
			key = set.Position(o.Pos()).String()
		}
		if _, ok := numbers[key]; !ok {
			numbers[key] = len(numbers)
		}
		fmt.Fprintf(&b, "i%d ", numbers[key])
	}
	var walk func(reflect.Value)
	walk = func(v reflect.Value) {
		switch v.Kind() {
		case reflect.Interface, reflect.Pointer:
			if v.IsNil() {
				b.WriteString("nil ")
				return
			}
			switch x := v.Interface().(type) {
			case *ast.Ident:
				ident(x)
				return
			case *ast.BasicLit:
				if x.Kind == token.STRING {
					texts = append(texts, x.Value)
					b.WriteString("text ")
				} else {
					b.WriteString(x.Value + " ")
				}
				return
			}
			walk(v.Elem())
		case reflect.Struct:
			b.WriteString(v.Type().Name() + "(")
			for i := range v.NumField() {
				switch v.Type().Field(i).Type {
				case reflect.TypeFor[token.Pos](), reflect.TypeFor[*ast.CommentGroup](), reflect.TypeFor[*ast.Object](), reflect.TypeFor[*ast.Scope]():
				default:
					walk(v.Field(i))
				}
			}
			b.WriteString(") ")
		case reflect.Slice:
			b.WriteString("[")
			for i := range v.Len() {
				walk(v.Index(i))
			}
			b.WriteString("] ")
		default:
			fmt.Fprintf(&b, "%v ", v.Interface())
		}
	}
	walk(reflect.ValueOf(n))
	return decl{set.Position(n.Pos()).String(), b.String(), texts}
}

// object returns what an identifier denotes; for an embedded field its type, for a member of an
// instantiated type that of the generic one; nil if it denotes no object, as the name of a package does.
func object(info *types.Info, id *ast.Ident) types.Object {
	o := info.Defs[id]
	if o == nil {
		o = info.Uses[id]
	}
	switch x := o.(type) {
	case *types.Var:
		if x.Embedded() {
			t := x.Type()
			if p, ok := t.(*types.Pointer); ok {
				t = p.Elem()
			}
			if named, ok := types.Unalias(t).(*types.Named); ok {
				return named.Origin().Obj()
			}
		}
		return x.Origin()
	case *types.Func:
		return x.Origin()
	}
	return o
}
