package assigner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/assigner"
)

func Example() {
	members := []assigner.Member{{Name: "a", DataCentre: "x"}, {Name: "b", DataCentre: "x"}, {Name: "c", DataCentre: "y"}}
	fmt.Println(assigner.Owner(members, "engine-1", "y"))
	fmt.Println(assigner.Owner(members[:2], "engine-1", "y") != "")
	// Output:
	// c
	// true
}

// The departure of a member changes the owner of only those keys that it owned.
func TestOwnerChangesOnlyForKeysOfDepartedMember(t *testing.T) {
	is := is.New(t)
	var members []assigner.Member
	for i := range 20 {
		members = append(members, assigner.Member{Name: fmt.Sprint("m", i), DataCentre: "x"})
	}
	for i := range 500 {
		key := fmt.Sprint("engine-", i)
		before := assigner.Owner(members, key, "x")
		after := assigner.Owner(members[1:], key, "x")
		is.True(before == after || before == members[0].Name)
	}
}
