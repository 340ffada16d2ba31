#include "operator/internal/grammar.h"

#include <boost/spirit/home/x3.hpp>

#include "operator/internal/tokens.h"

namespace wigeonlb::operators {

namespace x3 = boost::spirit::x3;

namespace {

// --------------------------------------------------------------- tokens

const x3::rule<struct SpaceTag> kSpace = "white space";
const auto kSpace_def = x3::space | ("--" >> *(x3::char_ - x3::eol));
BOOST_SPIRIT_DEFINE(kSpace)

// -------------------------------------------------------------- actions

//! Assigns the parsed attribute to a member of the rule's value.
template<typename Member>
auto
Set(Member aMember)
{
  return [aMember](auto& aContext) {
    x3::_val(aContext).*aMember = x3::_attr(aContext);
  };
}

//! Appends the parsed attribute to a member of the rule's value.
template<typename Member>
auto
Append(Member aMember)
{
  return [aMember](auto& aContext) {
    (x3::_val(aContext).*aMember).push_back(x3::_attr(aContext));
  };
}

//! Like the library's `%`, but requires an item after each separator.
template<typename Item, typename Separator>
auto
SeparatedList(const Item& aItem, const Separator& aSeparator)
{
  return aItem >> *(aSeparator > aItem);
}

const auto kSetBody = [](auto& aContext) {
  x3::_val(aContext).body_ = x3::_attr(aContext);
};

// ----------------------------------------------------------------- show

const x3::rule<struct ConditionTag, Condition> kCondition =
  "a condition such as column = 'value'";
const auto kCondition_def = Name("a column")[Set(&Condition::column_)] >
                            Symbol("=") >
                            Text("a value")[Set(&Condition::value_)];
BOOST_SPIRIT_DEFINE(kCondition)

const x3::rule<struct ShowTag, ShowStatement> kShowTable = "a table";
const auto kShowTable_def =
  TableNameToken("a table")[Set(&ShowStatement::kind_)] >>
  -(Word("where") >
    SeparatedList(kCondition[Append(&ShowStatement::conditions_)],
                  Word("and")));
BOOST_SPIRIT_DEFINE(kShowTable)

const x3::rule<struct WhyTag, ShowWhyStatement> kShowWhy = "why";
const auto kShowWhy_def = Word("why") > Word("group") >
                          Name("a group name")[Set(&ShowWhyStatement::group_)];
BOOST_SPIRIT_DEFINE(kShowWhy)

const auto kSetHelp = [](auto& aContext) {
  x3::_val(aContext).body_ = ShowHelpStatement{};
};

const x3::rule<struct ShowBodyTag, Statement> kShow =
  "hosts, groups, targets, sessions, grants, config, metrics, members, why or "
  "help";
const auto kShow_def =
  kShowWhy[kSetBody] | Word("help")[kSetHelp] | kShowTable[kSetBody];
BOOST_SPIRIT_DEFINE(kShow)

// -------------------------------------------------------------- explain

const x3::rule<struct ExplainTag, ExplainReadStatement> kExplain = "explain";
const auto kExplain_def =
  Word("explain") > Word("read") >
  Name("a group name")[Set(&ExplainReadStatement::group_)] >>
  -(Word("floor") >
    PositionToken(
      "a position such as 3/1048576")[Set(&ExplainReadStatement::floor_)]) >>
  -(Word("max_age") >
    DurationToken(
      "a length of time such as '5s'")[Set(&ExplainReadStatement::maxAge_)]);
BOOST_SPIRIT_DEFINE(kExplain)

// -------------------------------------------------------------- changes

const x3::rule<struct OptionTag, Option> kOption =
  "an option such as key = value";
const auto kOption_def = Name("an option's name")[Set(&Option::key_)] >
                         Symbol("=") > Text("a value")[Set(&Option::value_)];
BOOST_SPIRIT_DEFINE(kOption)

const x3::rule<struct CreateTag, CreateGroupStatement> kCreate = "create";
const auto kCreate_def =
  Word("create") > Word("group") >
  Name("a group name")[Set(&CreateGroupStatement::group_)] >>
  -(Word("with") >
    SeparatedList(kOption[Append(&CreateGroupStatement::options_)],
                  Symbol(",")));
BOOST_SPIRIT_DEFINE(kCreate)

const x3::rule<struct DropTag, DropGroupStatement> kDrop = "drop";
const auto kDrop_def = Word("drop") > Word("group") >
                       Name("a group name")[Set(&DropGroupStatement::group_)];
BOOST_SPIRIT_DEFINE(kDrop)

const x3::rule<struct SetGroupTag, SetGroupStatement> kSetGroup = "group";
const auto kSetGroup_def =
  Word("group") > Name("a group name")[Set(&SetGroupStatement::group_)] >
  SeparatedList(kOption[Append(&SetGroupStatement::options_)], Symbol(","));
BOOST_SPIRIT_DEFINE(kSetGroup)

const x3::rule<struct SetSystemTag, SetSystemStatement> kSetSystem = "system";
const auto kSetSystem_def =
  Word("system") >
  SeparatedList(kOption[Append(&SetSystemStatement::options_)], Symbol(","));
BOOST_SPIRIT_DEFINE(kSetSystem)

const auto kSetUndrain = [](auto& aContext) {
  x3::_val(aContext).draining_ = false;
};

const x3::rule<struct DrainTag, DrainStatement> kDrain = "drain or undrain";
const auto kDrain_def = (Word("drain") | Word("undrain")[kSetUndrain]) >
                        Word("target") >
                        Name("a group name")[Set(&DrainStatement::group_)] >
                        Name("a target name")[Set(&DrainStatement::target_)];
BOOST_SPIRIT_DEFINE(kDrain)

const x3::rule<struct PromoteTag, PromoteStatement> kPromote = "promote";
const auto kPromote_def =
  Word("promote") > Name("a group name")[Set(&PromoteStatement::group_)] >
  Name("a target name")[Set(&PromoteStatement::target_)];
BOOST_SPIRIT_DEFINE(kPromote)

// ----------------------------------------------------------- statements

const auto kCopyBody = [](auto& aContext) {
  x3::_val(aContext).body_ = x3::_attr(aContext).body_;
};

const x3::rule<struct SetTag, Statement> kSet = "group or system";
const auto kSet_def = kSetGroup[kSetBody] | kSetSystem[kSetBody];
BOOST_SPIRIT_DEFINE(kSet)

const x3::rule<struct ChangeTag, Statement> kChange = "a change";
const auto kChange_def =
  (kCreate[kSetBody] | kDrop[kSetBody] | (Word("set") > kSet[kCopyBody]) |
   kDrain[kSetBody] | kPromote[kSetBody]) >>
  -(Word("if") > Word("revision") >
    RevisionToken("a revision number")[Set(&Statement::expectedRevision_)]);
BOOST_SPIRIT_DEFINE(kChange)

const auto kCopyStatement = [](auto& aContext) {
  x3::_val(aContext) = x3::_attr(aContext);
};

const x3::rule<struct StatementTag, Statement> kStatement =
  "show, explain, create, drop, set, drain, undrain or promote";
const auto kStatement_def = (Word("show") > kShow[kCopyBody]) |
                            kExplain[kSetBody] | kChange[kCopyStatement];
BOOST_SPIRIT_DEFINE(kStatement)

} // namespace

bool
ParseStatement(std::string_view aText,
               Statement& aStatement,
               SyntaxError& aError)
{
  const char* begin = aText.data();
  const char* const end = begin + aText.size();
  try {
    const auto parser = x3::expect[kStatement] > EndOfStatement();
    return x3::phrase_parse(begin, end, parser, kSpace, aStatement);
  } catch (const x3::expectation_failure<const char*>& failure) {
    aError = { SkipSpace(failure.where(), end), failure.which() };
    return false;
  }
}

const char*
SkipSpace(const char* aBegin, const char* aEnd)
{
  x3::parse(aBegin, aEnd, *kSpace);
  return aBegin;
}

} // namespace wigeonlb::operators
