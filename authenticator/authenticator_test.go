package authenticator_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/authenticator"
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// TestTokensFollowTheConfiguration guards against a token that gives access to the
// wrong workspace, an empty token that gives access to any, a revoked token that
// still works, and a valid token that a node rejects because it has just started.
func TestTokensFollowTheConfiguration(t *testing.T) {
	c := quicktest.New(t)
	access := authenticator.New(map[identifier.Organisation]authenticator.Digest{"mallet": authenticator.DigestOf("first")})
	_, err := access.Operator("first")
	c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.NotReady)
	access.MarkConfigurationRead()
	organisation, err := access.Operator("first")
	c.Assert(err, quicktest.IsNil)
	c.Assert(organisation, quicktest.Equals, identifier.Organisation("mallet"))
	_, err = access.Workspace("county token")
	c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.NotReady)
	access.Update(&messenger.Configuration{Version: 4, Organisations: []messenger.OrganisationText{{
		Organisation: "mallet", OperatorDigest: authenticator.DigestOf("second"),
		Workspaces: []messenger.WorkspaceSpec{
			{Workspace: "county", TokenDigest: authenticator.DigestOf("county token")},
			{Workspace: "juniors", TokenDigest: authenticator.DigestOf("juniors token")},
		},
	}}})
	for _, token := range []string{"first", "", "county token"} {
		_, err := access.Operator(token)
		c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.Unauthenticated, quicktest.Commentf("%q", token))
	}
	_, err = access.Operator("second")
	c.Assert(err, quicktest.IsNil)
	workspace, err := access.Workspace("juniors token")
	c.Assert(err, quicktest.IsNil)
	c.Assert(workspace, quicktest.Equals, identifier.Workspace("juniors"))
	for _, token := range []string{"", "second", "county"} {
		_, err := access.Workspace(token)
		c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.Unauthenticated, quicktest.Commentf("%q", token))
	}
	c.Assert(access.IsMember("mallet"), quicktest.IsTrue)
	c.Assert(access.IsMember("lawn-care"), quicktest.IsFalse)
}
