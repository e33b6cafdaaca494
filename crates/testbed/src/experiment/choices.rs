//! Fields of an experiment that are one of a few names. The file has them as strings, so that the check can name all that is
//! wrong at once; the code reads them as these enums.

/// Declares an enum whose variants have names in the file; the first one is the default.
macro_rules! choices {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $text:literal),+ $(,)? }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[$variant_doc])* $variant),+
        }

        impl $name {
            /// All of them, the default first.
            pub const ALL: &[$name] = &[$($name::$variant),+];

            /// As the file has it.
            pub fn name(self) -> &'static str {
                match self {
                    $($name::$variant => $text),+
                }
            }

            /// The one of that name, if there is one.
            pub fn named(name: &str) -> Option<$name> {
                $name::ALL.iter().copied().find(|choice| choice.name() == name)
            }

            /// The names, as an error lists them: `"a", "b" or "c"`.
            pub(super) fn listed() -> String {
                let names: Vec<String> =
                    $name::ALL.iter().map(|choice| format!("\"{}\"", choice.name())).collect();
                match names.split_last() {
                    Some((last, rest)) if !rest.is_empty() => format!("{} or {last}", rest.join(", ")),
                    _ => names.concat(),
                }
            }
        }
    };
}

choices! {
    /// What a server does with a key that it lacks.
    CacheMode {
        /// It reports the miss, and the proxy asks the origin.
        Aside = "aside",
        /// It fetches from the origin itself.
        Through = "through",
    }
}

choices! {
    /// Where proxies have the endpoint list from.
    ListSource {
        /// The platform's own discovery.
        Platform = "platform",
        /// A cluster of etcd.
        Etcd = "etcd",
        /// A file for each proxy.
        File = "file",
    }
}

choices! {
    /// What clients and servers speak.
    Protocol {
        /// HTTP/1.1.
        Http = "http",
        /// RESP in its cluster dialect.
        Resp = "resp",
    }
}

choices! {
    /// Whether a request of a class may run more than once.
    Repeats {
        /// As often as one likes.
        Replayable = "replayable",
        /// Where servers drop repeats by its idempotency key.
        Tagged = "tagged",
        /// Never.
        SingleUse = "single-use",
    }
}

choices! {
    /// Which servers drop repeats of a tagged request together.
    DedupGroup {
        /// All of them.
        All = "all",
        /// Those of one zone.
        Zone = "zone",
        /// Those of one cell.
        Cell = "cell",
    }
}
