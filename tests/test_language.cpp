#define BOOST_TEST_MODULE language
#include "libserving/serving.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace Trefoil {

struct InvalidStatement
{
    std::string text;
    std::size_t column;
    // A part of the expected error message.
    std::string message;
};

std::ostream &operator<<(std::ostream &out, const InvalidStatement &invalid)
{
    return out << "'" << invalid.text << "'";
}

namespace {

const std::vector<InvalidStatement> InvalidStatements = {
        {"", 1, "expected a statement"},
        {"frobnicate", 1, "unknown statement"},
        {"set", 4, "expected 'workspace' or 'deployment'"},
        {"set workspace", 14, "expected a workspace name"},
        {"set workspace haldar", 21, "expected 'weight'"},
        {"set workspace haldar weight many", 29, "expected a weight"},
        {"set workspace haldar weight 3 4", 31, "unexpected '4'"},
        {"set deployment d color red", 18, "unknown clause 'color'"},
        {"set deployment d groups 1 groups 2", 27, "stands twice"},
        {"set deployment d groups 99999999999", 25, "too large"},
        {"set deployment d groups 1.5", 25, "expected a number of groups"},
        {"show nothing", 6, "no table 'nothing'"},
        {"show groups where color = red", 19, "has no column 'color'"},
        {"show groups where state open", 25, "expected ="},
        {"show groups where state =", 26, "expected a value"},
        {"show workspaces where wait > 3", 23, "cannot be compared"},
        {"show groups by running", 16, "only be grouped by a key column"},
        {"drain group x", 13, "expected a group number"},
        {"show groups where state = \"open", 32, "unexpected character"},
        {"show groups ; drop", 13, "unexpected character"},
};

const std::vector<std::string> ValidStatements = {
        "help",
        "show groups",
        "show groups where deployment = \"desk-model\" and state != open by deployment limit 3",
        "show workspaces where work >= 1.5",
        "explain group 12",
        "set workspace haldar weight 2.5",
        "set deployment d model m version v1 groups 3 vms-per-group 8 placement weighted",
        "drain entry alpha",
        "undrain vm engine-1",
        "move group 7 to beta",
        "add seat gamma",
        "remove seat 14834857342669093555",
};

Row groupRow(std::int64_t group, const std::string &deployment, const std::string &state,
             std::int64_t running)
{
    return {group,
            deployment,
            state,
            std::string("v1"),
            std::string("f"),
            std::string("d"),
            std::string("e"),
            std::string(""),
            running,
            std::int64_t{8}};
}

} // namespace

// An invalid statement could be accepted, or its error could name the wrong column or reason.
BOOST_DATA_TEST_CASE(invalidStatementReportsWrongColumn,
                     boost::unit_test::data::make(InvalidStatements), invalid)
{
    try {
        parseStatement(invalid.text);
        BOOST_FAIL("was accepted");
    } catch (const LanguageError &error) {
        BOOST_TEST(error.column() == invalid.column, error.what());
        BOOST_TEST(std::string(error.what()).find(invalid.message) != std::string::npos,
                   error.what());
    }
}

// A change of the grammar could reject a documented form of a statement.
BOOST_DATA_TEST_CASE(validStatementIsRejected, boost::unit_test::data::make(ValidStatements), text)
{
    BOOST_CHECK_NO_THROW(parseStatement(text));
}

// A command that names one field of a deployment could undo another operator's change of a
// different field.
BOOST_AUTO_TEST_CASE(partialChangeResetsOtherFields)
{
    ControlState state;
    const auto run = [&state](const std::string &text, LogIndex index) {
        Proposal proposal;
        proposal.command = std::get<Command>(parseStatement(text));
        return applyProposal(state, proposal, index).isAccepted();
    };
    BOOST_TEST(run("set deployment d model m version v1 groups 2", 1));
    BOOST_TEST(run("set deployment d version v2", 2));
    BOOST_TEST(run("set deployment d groups 5", 3));
    const Deployment &deployment = state.config.deployments.at("d");
    BOOST_TEST(deployment.version == "v2");
    BOOST_TEST(deployment.groups == 5u);
    BOOST_TEST(deployment.model == "m");
}

// An operator that got no reply sends the same command again. It must get the first reply, and a
// different command with the same number must be refused.
BOOST_AUTO_TEST_CASE(repeatedCommandIsAppliedAgain)
{
    ControlState state;
    Proposal first;
    first.identity = {"ann", 7, 1};
    first.command = SetWorkspace{{"haldar", 2}};
    const CommandReply reply = applyProposal(state, first, 10);
    BOOST_TEST(reply.isAccepted());
    BOOST_TEST((applyProposal(state, first, 20) == reply));
    BOOST_TEST(state.config.version == 10u);
    Proposal other = first;
    other.identity.digest = 2;
    BOOST_TEST((applyProposal(state, other, 30).code == ReplyCode::NumberReused));
    other.identity.operatorName = "bob";
    BOOST_TEST(applyProposal(state, other, 40).isAccepted());
}

// A command that was written for an older version of the configuration could overwrite a newer
// change.
BOOST_AUTO_TEST_CASE(expectedVersionIsIgnored)
{
    ControlState state;
    Proposal proposal;
    proposal.command = SetWorkspace{{"haldar", 2}};
    applyProposal(state, proposal, 5);
    proposal.expectedVersion = 4;
    BOOST_TEST((applyProposal(state, proposal, 6).code == ReplyCode::VersionMismatch));
    proposal.expectedVersion = 5;
    BOOST_TEST(applyProposal(state, proposal, 7).isAccepted());
}

// Two entries filter and aggregate their rows. The merged result could lose a row or count it
// twice.
BOOST_AUTO_TEST_CASE(partialResultsAreMergedWrong)
{
    const std::vector<Row> a = {groupRow(1, "desk", "open", 3), groupRow(2, "desk", "loading", 0)};
    const std::vector<Row> b = {groupRow(3, "desk", "open", 4), groupRow(4, "other", "open", 9)};
    const auto query =
            std::get<ShowQuery>(parseStatement("show groups where state = open by deployment"));
    std::vector<Row> partials = evaluateQuery(query, a);
    const auto more = evaluateQuery(query, b);
    partials.insert(partials.end(), more.begin(), more.end());
    const auto merged = mergePartials(query, partials);
    BOOST_REQUIRE(merged.size() == 2u);
    BOOST_TEST(toText(merged[0][1]) == "desk");
    BOOST_TEST(std::get<std::int64_t>(merged[0][8]) == 7);
    BOOST_TEST(std::get<std::int64_t>(merged[1][8]) == 9);
}

// A quantile of merged histograms could be taken from the wrong bucket, or from an empty histogram.
BOOST_AUTO_TEST_CASE(mergedHistogramGivesWrongQuantile)
{
    DurationHistogram a;
    a.counts.assign(DurationBuckets, 0);
    a.counts[10] = 99;
    DurationHistogram b = a;
    b.counts[10] = 0;
    b.counts[20] = 1;
    BOOST_TEST(quantileMs(a, 0.99) == bucketUpperMs(10));
    for (std::size_t i = 0; i < DurationBuckets; ++i)
        a.counts[i] += b.counts[i];
    BOOST_TEST(quantileMs(a, 0.99) == bucketUpperMs(10));
    BOOST_TEST(quantileMs(a, 1.0) == bucketUpperMs(20));
    BOOST_TEST(quantileMs(DurationHistogram{}, 0.5) == 0);
}

// A decoded message could lose fields, or bytes that encode no message could be accepted.
BOOST_AUTO_TEST_CASE(decodedMessageDiffers)
{
    DispatchCall call;
    call.request.id = {"alpha", 7, 9};
    call.request.pool = "desk";
    call.request.payload = std::make_shared<CallPayload>(CallPayload{"POST", "/x", "t", "body"});
    call.remainingMs = 1500;
    const auto decoded = decodePeerMessage(encodePeerMessage(call));
    const auto &copy = std::get<DispatchCall>(decoded);
    BOOST_TEST((copy.request.id == call.request.id));
    BOOST_TEST(copy.request.payload->body == "body");
    BOOST_CHECK_THROW(decodePeerMessage("\x01garbage"), std::exception);
    BOOST_CHECK_THROW(decodeGossip(""), std::exception);
}

} // namespace Trefoil
