Feature: the daemons of a deployment as one of them sees them

  Scenario Outline: one of <count> members <change>
    # Guards against rebuilding all members at each request, and against a view
    # that misses what a member announces.
    Given a daemon that knows <count> members
    When one member <change>
    Then only its description is rebuilt, with the new values

    Examples:
      | count | change                 |
      | 195   | becomes busy           |
      | 348   | becomes busy           |
      | 348   | comes at a new address |
