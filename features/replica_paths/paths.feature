Feature: a daemon records which replicas it reaches

  Scenario Outline: <what> is told from the log
    # Guards against logs in which a host without a path to any replica looks like
    # a host whose replicas fail.
    Given a daemon that has reached three replicas
    When <what>
    Then its log names <unreachable> as unreachable, and <again> as reached again
    And the last connection was made <when>

    Examples: troubles
      | what                              | unreachable | again | when              |
      | one replica is lost               | a           | none  | a moment ago      |
      | the host is cut from all replicas | a, b, c     | none  | before the others |
      | such a cut has ended              | a, b, c     | a     | a moment ago      |
      | a lost replica is removed         | a           | none  | a moment ago      |
