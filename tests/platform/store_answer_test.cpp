#include "platform/store_answer.hpp"

#include <gtest/gtest.h>

namespace acaciaslip::platform {
namespace {

class store_answer_test : public testing::Test { };

TEST_F(store_answer_test, Page_Complete_IsRead)
{
    const auto read
        = readStoreAnswer(R"({"as-of":5,"items":[{"key":"op/a"},{"key":"op/b"}],"has-more":true})", "items", "");
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(read->asOf, 5U);
    EXPECT_EQ(read->items.size(), 2U);
    EXPECT_EQ(read->nextPageAfter, "op/b");
}

TEST_F(store_answer_test, Page_LastOne_HasNoNextPage)
{
    const auto read = readStoreAnswer(R"({"as-of":5,"items":[{"key":"op/a"}],"has-more":false})", "items", "");
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_FALSE(read->nextPageAfter);
}

TEST_F(store_answer_test, Answer_ListMissing_HasNoItems)
{
    const auto read = readStoreAnswer(R"({"as-of":5})", "events", "");
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_TRUE(read->items.empty());
}

TEST_F(store_answer_test, Answer_FieldOfWrongType_IsNamedInError)
{
    struct sample {
        const char* body;
        const char* field;
    };
    for (const auto& wrong :
        { sample { R"({"items":[]})", "as-of" }, { R"({"as-of":"5"})", "as-of" }, { R"({"as-of":5.5})", "as-of" },
            { R"({"as-of":5,"items":null})", "items" }, { R"({"as-of":5,"items":[],"has-more":1})", "has-more" },
            { R"({"as-of":5,"items":[],"has-more":true})", "has-more" },
            { R"({"as-of":5,"items":[7],"has-more":true})", "key" },
            { R"({"as-of":5,"items":[{"key":7}],"has-more":true})", "key" },
            { R"({"as-of":5,"items":[{"key":"m"}],"has-more":true})", "key" } }) {
        const auto read = readStoreAnswer(wrong.body, "items", "m");
        ASSERT_FALSE(read.ok()) << wrong.body;
        EXPECT_NE(read.status().message().find("'" + std::string(wrong.field) + "'"), std::string::npos)
            << read.status();
    }
}

/// Copying a value is recursive: a list nested this deep exhausted the stack and ended the process.
TEST_F(store_answer_test, Answer_NestedVeryDeep_IsRejectedWithoutStackOverflow)
{
    constexpr std::size_t depth = 1000000;
    const auto body = R"({"as-of":5,"items":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    EXPECT_FALSE(readStoreAnswer(body, "items", "").ok());
    EXPECT_FALSE(readStoreAnswer(std::string(depth, '['), "items", "").ok());
    EXPECT_TRUE(readStoreAnswer(
        R"({"as-of":5,"items":["[[\"{{[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["]})", "items", "")
                    .ok());
}

TEST_F(store_answer_test, Key_PlainCharacters_AreNotEncoded)
{
    EXPECT_EQ(encodeQueryValue("servers/i-7f_3.~"), "servers/i-7f_3.~");
    EXPECT_EQ(encodeQueryValue("a%&\xc3\xa9"), "a%25%26%C3%A9");
}

} // namespace
} // namespace acaciaslip::platform
