#include "core/classification/classificationcache.h"

namespace wigeonlb::core::classification {

ClassificationCache::ClassificationCache(std::size_t aLimit,
                                         std::size_t aLimitBytes,
                                         Classifier aClassify)
  : classify_(aClassify)
  , limit_(aLimit)
  , limitBytes_(aLimitBytes)
{
}

ClassificationCache::~ClassificationCache()
{
  recent_.clear();
}

void
ClassificationCache::EvictLeastRecentlyUsed()
{
  Entry& oldest = recent_.back();
  bytes_ -= oldest.text_.size();
  recent_.pop_back();
  byText_.erase(oldest.text_);
}

const Classification&
ClassificationCache::Find(std::string_view aText)
{
  const auto found = byText_.find(aText);
  if (found != byText_.end()) {
    ++hits_;
    Entry& entry = *found->second;
    recent_.splice(recent_.begin(), recent_, recent_.iterator_to(entry));
    return entry.classification_;
  }
  ++misses_;
  if (aText.size() > kMaxTextBytes || limit_ == 0) {
    uncached_ = classify_(aText);
    return uncached_;
  }
  auto entry = std::make_unique<Entry>();
  entry->text_ = aText;
  entry->classification_ = classify_(aText);
  Entry& added = *entry;
  byText_.emplace(added.text_, std::move(entry));
  recent_.push_front(added);
  bytes_ += added.text_.size();
  while (byText_.size() > limit_ ||
         (bytes_ > limitBytes_ && byText_.size() > 1)) {
    EvictLeastRecentlyUsed();
  }
  return added.classification_;
}

} // namespace wigeonlb::core::classification
