// Generates and compares messages in property tests, using the field lists of
// peer_fields.h.
#ifndef CHIVEDALE_TESTING_MESSAGE_GEN_H_
#define CHIVEDALE_TESTING_MESSAGE_GEN_H_

#include <rapidcheck.h>

#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "chivedale/messages.h"
#include "chivedale/peer_codec.h"
#include "chivedale/peer_fields.h"

namespace chivedale::testing {

struct FieldFiller {
  template <typename... Fields>
  int operator()(Fields&... fields) {
    (Fill(fields), ...);
    return 0;
  }

  void Fill(bool& value) { value = *rc::gen::arbitrary<bool>(); }
  void Fill(double& value) {
    value = static_cast<double>(*rc::gen::arbitrary<int32_t>()) / 8;
  }
  template <typename T, std::enable_if_t<std::is_integral_v<T>, int> = 0>
  void Fill(T& value) {
    value = *rc::gen::arbitrary<T>();
    if constexpr (std::is_signed_v<T>) {
      value %= kMaxMessageNumber + 1;
    }
  }
  template <typename T, std::enable_if_t<std::is_enum_v<T>, int> = 0>
  void Fill(T& value) {
    value = static_cast<T>(
        *rc::gen::inRange(0, static_cast<int>(LastEnumValue<T>::kValue) + 1));
  }
  void Fill(Millis& value) {
    value = Millis(*rc::gen::arbitrary<int64_t>() %
                   (kMaxMessageDuration.count() + 1));
  }
  void Fill(std::string& value) { value = *rc::gen::arbitrary<std::string>(); }
  template <typename Tag>
  void Fill(Id<Tag>& value) {
    value = Id<Tag>(*rc::gen::arbitrary<std::string>());
  }
  void Fill(Body& value) {
    const bool present = *rc::gen::arbitrary<bool>();
    value = present ? std::make_shared<const std::string>(
                          *rc::gen::arbitrary<std::string>())
                    : nullptr;
  }
  template <typename T>
  void Fill(std::optional<T>& value) {
    if (*rc::gen::arbitrary<bool>()) {
      Fill(value.emplace());
    }
  }
  template <typename T>
  void Fill(std::vector<T>& values) {
    values.resize(*rc::gen::inRange<size_t>(0, 4));
    for (T& value : values) {
      Fill(value);
    }
  }
  template <typename T>
  void Fill(std::map<std::string, T>& values) {
    const int count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i) {
      Fill(values["k" + std::to_string(i)]);
    }
  }
  template <typename T, typename = decltype(FieldsOf<T>::kName)>
  void Fill(T& value) {
    FieldsOf<T>::Visit(*this, value);
  }
};

template <size_t I = 0>
Message MessageOfType(size_t type) {
  if constexpr (I + 1 < std::variant_size_v<Message>) {
    if (type != I) {
      return MessageOfType<I + 1>(type);
    }
  }
  return std::variant_alternative_t<I, Message>{};
}

inline Message GenerateMessage(size_t type) {
  Message message = MessageOfType(type);
  FieldFiller filler;
  std::visit([&](auto& m) { filler.Fill(m); }, message);
  return message;
}

// Compares field by field, and bodies by content.
template <typename T>
bool EqualValues(const T& a, const T& b);

template <typename... A>
struct FieldRefs {
  std::tuple<const A&...> refs;
};
struct RefCollector {
  template <typename... Fields>
  FieldRefs<Fields...> operator()(const Fields&... fields) const {
    return {std::tuple<const Fields&...>(fields...)};
  }
};

template <typename... F, size_t... I>
bool EqualFieldRefs(const FieldRefs<F...>& a,
                    const FieldRefs<F...>& b,
                    std::index_sequence<I...>) {
  return (EqualValues(std::get<I>(a.refs), std::get<I>(b.refs)) && ...);
}

template <typename T>
bool EqualFields(const T& a, const T& b) {
  const RefCollector collect;
  const auto x = FieldsOf<T>::Visit(collect, a);
  const auto y = FieldsOf<T>::Visit(collect, b);
  return EqualFieldRefs(
      x, y, std::make_index_sequence<std::tuple_size_v<decltype(x.refs)>>());
}

template <typename T>
struct IsList : std::false_type {};
template <typename T>
struct IsList<std::vector<T>> : std::true_type {};
template <typename T, typename = void>
struct HasFields : std::false_type {};
template <typename T>
struct HasFields<T, std::void_t<decltype(FieldsOf<T>::kName)>>
    : std::true_type {};

template <typename T>
bool EqualValues(const T& a, const T& b) {
  if constexpr (std::is_same_v<T, Body>) {
    return (a == nullptr) == (b == nullptr) && (a == nullptr || *a == *b);
  } else if constexpr (std::is_same_v<T, std::optional<Summary>>) {
    return a.has_value() == b.has_value() && (!a || EqualFields(*a, *b));
  } else if constexpr (IsList<T>::value) {
    bool same = a.size() == b.size();
    for (size_t i = 0; same && i < a.size(); ++i) {
      same = EqualValues(a[i], b[i]);
    }
    return same;
  } else if constexpr (std::is_same_v<T, std::map<std::string, DemandReport>>) {
    bool same = a.size() == b.size();
    for (auto i = a.begin(), j = b.begin(); same && i != a.end(); ++i, ++j) {
      same = i->first == j->first && EqualFields(i->second, j->second);
    }
    return same;
  } else if constexpr (HasFields<T>::value) {
    return EqualFields(a, b);
  } else {
    return a == b;
  }
}

inline bool EqualMessages(const Message& a, const Message& b) {
  return a.index() == b.index() &&
         std::visit(
             [&](const auto& m) {
               return EqualValues(m, std::get<std::decay_t<decltype(m)>>(b));
             },
             a);
}

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_MESSAGE_GEN_H_
