#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <boost/intrusive/list.hpp>

#include "core/classification/classification.h"

namespace wigeonlb::core::classification {

//! Classifies the text of one query message in a target's query language.
using Classifier = Classification (*)(std::string_view aText);

//! LRU cache of classifications, keyed by the text of the query message. Not
//! thread-safe: each traffic thread has its own.
class ClassificationCache
{
public:
  //! Longer texts are not cached.
  static constexpr std::size_t kMaxTextBytes = 8192;

  //! Keeps at most aLimit classifications, and texts of at most aLimitBytes in
  //! total.
  ClassificationCache(std::size_t aLimit,
                      std::size_t aLimitBytes,
                      Classifier aClassify = Classify);
  ~ClassificationCache();
  ClassificationCache(const ClassificationCache&) = delete;
  ClassificationCache& operator=(const ClassificationCache&) = delete;

  //! Returns the classification of a text, and caches it. The reference is
  //! valid until the next call.
  const Classification& Find(std::string_view aText);

  std::size_t size() const { return byText_.size(); }
  std::uint64_t Hits() const { return hits_; }
  std::uint64_t Misses() const { return misses_; }

private:
  struct Entry : boost::intrusive::list_base_hook<>
  {
    std::string text_;
    Classification classification_;
  };

  void EvictLeastRecentlyUsed();

  Classifier classify_;
  std::size_t limit_;
  std::size_t limitBytes_;
  std::size_t bytes_ = 0;
  std::uint64_t hits_ = 0;
  std::uint64_t misses_ = 0;
  Classification uncached_;
  std::unordered_map<std::string_view, std::unique_ptr<Entry>> byText_;
  boost::intrusive::list<Entry> recent_;
};

} // namespace wigeonlb::core::classification
