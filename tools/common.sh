# Shared by the tools: packages and build. Source it from the checkout's root.

packages="cmake ninja-build g++ pkg-config libevent-dev libnghttp2-dev
  libprotobuf-dev protobuf-compiler libboost-dev libcli11-dev liblog4cplus-dev
  libcppunit-dev nlohmann-json3-dev libxxhash-dev
  libhttp-parser-dev clang clang-format clang-tidy libclang-rt-14-dev
  python3 python3-scipy"

# Installs what is missing, with Debian's package manager.
install_packages() {
  local missing="" each
  for each in $packages; do
    dpkg-query -W -f '${Status}' "$each" 2>/dev/null |
      grep -q 'install ok installed' || missing="$missing $each"
  done
  [ -z "$missing" ] && return 0
  echo "installing:$missing"
  apt-get update -qq >/dev/null &&
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
      --no-install-recommends $missing >/dev/null
}

# Builds everything with the release preset into build/release.
build_release() {
  cmake --preset release >build-configure.log 2>&1 ||
    { cat build-configure.log; return 1; }
  rm -f build-configure.log
  cmake --build --preset release
}
