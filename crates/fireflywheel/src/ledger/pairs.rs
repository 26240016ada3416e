//! Serde for ordered maps as lists of pairs, since JSON objects cannot have keys that are not strings.

use std::{collections::BTreeMap, fmt, marker::PhantomData};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{SeqAccess, Visitor},
};

/// Serializes the entries as pairs, in the order of their keys.
pub(super) fn serialize<S, K, V>(map: &BTreeMap<K, V>, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
    K: Serialize,
    V: Serialize,
{
    serializer.collect_seq(map)
}

/// Deserializes a map from a list of pairs.
pub(super) fn deserialize<'de, D, K, V>(deserializer: D) -> Result<BTreeMap<K, V>, D::Error>
where
    D: Deserializer<'de>,
    K: Deserialize<'de> + Ord,
    V: Deserialize<'de>,
{
    deserializer.deserialize_seq(Pairs(PhantomData))
}

struct Pairs<K, V>(PhantomData<(K, V)>);

impl<'de, K, V> Visitor<'de> for Pairs<K, V>
where
    K: Deserialize<'de> + Ord,
    V: Deserialize<'de>,
{
    type Value = BTreeMap<K, V>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of pairs")
    }

    fn visit_seq<A>(self, mut pairs: A) -> Result<Self::Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut map = BTreeMap::new();
        while let Some((key, value)) = pairs.next_element()? {
            map.insert(key, value);
        }
        Ok(map)
    }
}
